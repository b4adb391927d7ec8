package org.ragworthook.daemon.control;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import io.vertx.core.http.HttpServerRequest;
import org.ragworthook.core.contract.ActiveContract;
import org.ragworthook.core.contract.Contract;
import org.ragworthook.core.contract.KeyHash;
import org.ragworthook.core.contract.Operator;
import org.ragworthook.core.error.AccessException;
import org.ragworthook.core.error.ConfigException;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.log.EventLog;

/**
 * Finds the operator behind a call. Operators stand in the text; those in the settings
 * can apply the first text, and mend one that shuts every operator out.
 */
final class OperatorAccess {

	private static final EventLog LOG = EventLog.of(OperatorAccess.class);

	private static final String BEARER = "Bearer ";

	private final ActiveContract inForce;

	private final Map<String, String> settingsKeys;

	OperatorAccess(ActiveContract inForce, Map<String, String> settingsKeys) {
		this.inForce = Objects.requireNonNull(inForce, "inForce is null");
		this.settingsKeys = Map.copyOf(settingsKeys);
	}

	/**
	 * Returns the operator who makes a call.
	 * @param request the call
	 * @return the operator's name
	 * @throws AccessException if the key is missing, unknown or a caller's
	 * @throws ConfigException if no contract is in force, so that keys are not known yet
	 */
	String operator(HttpServerRequest request) {
		String header = request.getHeader("Authorization");
		if (header == null || !header.startsWith(BEARER)) {
			throw refused(request, ErrorCode.ACCESS_UNKNOWN_KEY, "no bearer key was sent");
		}
		String key = header.substring(BEARER.length()).strip();
		Optional<Contract> contract = this.inForce.contract();
		return contract.flatMap((present) -> present.operatorOfKey(key))
			.map(Operator::name)
			.or(() -> ofSettings(KeyHash.of(key)))
			.orElseThrow(() -> unknown(request, contract, key));
	}

	/**
	 * Says why a key is refused. An entry that has just started knows no contract yet;
	 * told that his key is wrong, an operator would look for a fault where there is none.
	 * @param request the call
	 * @param contract the contract in force, or empty
	 * @param key the key that was sent
	 * @return the error
	 */
	private static RuntimeException unknown(HttpServerRequest request, Optional<Contract> contract, String key) {
		if (contract.isEmpty()) {
			return new ConfigException(ErrorCode.CONFIG_ABSENT,
					"no contract is in force here and the settings do " + "not hold the key");
		}
		return contract.get().accountOfKey(key).isPresent()
				? refused(request, ErrorCode.ACCESS_FORBIDDEN, "the key is an account's, not an operator's")
				: refused(request, ErrorCode.ACCESS_UNKNOWN_KEY, "the key is no operator's");
	}

	private Optional<String> ofSettings(KeyHash hash) {
		return this.settingsKeys.entrySet()
			.stream()
			.filter((entry) -> KeyHash.isValid(entry.getValue()) && new KeyHash(entry.getValue()).matches(hash))
			.map(Map.Entry::getKey)
			.findFirst();
	}

	private static AccessException refused(HttpServerRequest request, ErrorCode code, String detail) {
		LOG.warning("operator_refused", "code", code.text(), "remote", request.remoteAddress(), "path", request.path());
		return new AccessException(code, detail);
	}

}
