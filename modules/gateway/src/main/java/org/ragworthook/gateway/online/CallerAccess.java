package org.ragworthook.gateway.online;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.vertx.core.http.HttpServerRequest;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.gateway.account.AccessControl;
import org.ragworthook.gateway.account.AccessDecision;
import org.ragworthook.gateway.account.ClientAccount;
import org.ragworthook.gateway.account.QuotaLedger;
import org.ragworthook.gateway.account.QuotaReservation;
import org.ragworthook.gateway.dialect.HeaderNames;
import org.ragworthook.gateway.metrics.GatewayMetrics;

/**
 * Authenticates callers by their keys, enforces the quotas of their accounts and responds
 * to the requests that it rejects. Used on the event loop.
 */
public final class CallerAccess {

	private static final EventLog LOG = EventLog.of(CallerAccess.class);

	private static final int UNAUTHORIZED = 401;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int UNAVAILABLE = 503;

	/**
	 * Retry time while this entry cannot confirm the keys; short, since another entry is
	 * likely to reach the platform.
	 */
	private static final Duration UNCONFIRMED_RETRY_AFTER = Duration.ofMillis(100);

	private final AccessControl control;

	private final QuotaLedger quotas;

	private final HeaderNames names;

	private final GatewayMetrics metrics;

	/**
	 * Creates the access check.
	 * @param control finds the account of a key
	 * @param quotas the request quotas of accounts
	 * @param names the names of headers
	 * @param metrics counts rejected requests
	 */
	public CallerAccess(AccessControl control, QuotaLedger quotas, HeaderNames names, GatewayMetrics metrics) {
		this.control = Objects.requireNonNull(control, "control is null");
		this.quotas = Objects.requireNonNull(quotas, "quotas is null");
		this.names = Objects.requireNonNull(names, "names is null");
		this.metrics = Objects.requireNonNull(metrics, "metrics is null");
	}

	/**
	 * Authenticates the caller of a request, or responds with an error. The request is
	 * not read while the keys are being confirmed.
	 * @param request the request, whose body has not been read
	 * @param response receives the error if the caller is rejected
	 * @param anonymous whether callers without a known key are accepted
	 * @param gone returns whether the caller has closed its connection
	 * @param granted receives the account of an accepted caller, or empty for an
	 * anonymous one
	 * @return whether the decision was made at once; if not, the request stays paused
	 */
	boolean authenticate(HttpServerRequest request, CallerResponse response, boolean anonymous, BooleanSupplier gone,
			Consumer<Optional<ClientAccount>> granted) {
		List<String> keys = request.headers().getAll(this.names.apiKey());
		if (!this.control.keyRequired() || (anonymous && keys.isEmpty())) {
			granted.accept(Optional.empty());
			return true;
		}
		boolean[] decided = new boolean[1];
		request.pause();
		this.control.authenticate(keys, (access) -> {
			decided[0] = true;
			if (!gone.getAsBoolean()) {
				admit(access, request, response, anonymous, granted);
				request.resume();
			}
		});
		return decided[0];
	}

	private void admit(AccessDecision access, HttpServerRequest request, CallerResponse response, boolean anonymous,
			Consumer<Optional<ClientAccount>> granted) {
		switch (access.verdict()) {
			case GRANTED -> granted.accept(access.account());
			case DENIED -> {
				if (anonymous) {
					granted.accept(Optional.empty());
				}
				else {
					recordRejection(request, "unknown_key", Optional.empty());
					response.respond(UNAUTHORIZED,
							"the header " + this.names.apiKey() + " has to hold one key in force", Optional.empty());
				}
			}
			case UNCONFIRMED -> {
				recordRejection(request, "keys_unconfirmed", Optional.empty());
				response.respond(UNAVAILABLE, "not run: this instance cannot confirm which keys are in force",
						Optional.of(UNCONFIRMED_RETRY_AFTER));
			}
		}
	}

	/**
	 * Reserves one request in the quota of its account, or responds with an error if the
	 * quota is used up.
	 * @param request the request
	 * @param response receives the error
	 * @param account the account that the request belongs to, or empty for none
	 * @return the reservation, or empty if the request was rejected
	 */
	Optional<QuotaReservation> reserveQuota(HttpServerRequest request, CallerResponse response,
			Optional<ClientAccount> account) {
		if (account.isEmpty()) {
			return Optional.of(QuotaReservation.unlimited());
		}
		QuotaReservation.Outcome outcome = QuotaReservation.reserve(this.quotas, account.get());
		if (outcome.retryAfter().isEmpty()) {
			return Optional.of(outcome.reservation());
		}
		recordRejection(request, "over_quota", account);
		response.respond(TOO_MANY_REQUESTS, "not run: the account is over its quota", outcome.retryAfter());
		return Optional.empty();
	}

	private void recordRejection(HttpServerRequest request, String reason, Optional<ClientAccount> account) {
		LOG.info("refused", "request", request.getHeader(this.names.requestId()), "reason", reason, "account",
				account.map(ClientAccount::name).orElse("-"), "left_and_share",
				account.map(this.quotas::summary).orElse("-"), "keys_age_ms",
				this.control.confirmationAge().map(Duration::toMillis).orElse(-1L));
		this.metrics.requestRefused(reason);
	}

}
