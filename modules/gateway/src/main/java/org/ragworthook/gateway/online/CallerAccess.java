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
 * Lets callers in by their keys and quotas, and answers those that are not. Used on the
 * event loop.
 */
public final class CallerAccess {

	private static final EventLog LOG = EventLog.of(CallerAccess.class);

	private static final int UNAUTHORIZED = 401;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int UNAVAILABLE = 503;

	/** Another entry is likely to reach the platform. */
	private static final Duration ELSEWHERE = Duration.ofMillis(100);

	private final AccessControl control;

	private final QuotaLedger quotas;

	private final HeaderNames names;

	private final GatewayMetrics metrics;

	/**
	 * Makes the access of callers.
	 * @param control finds the account of a key
	 * @param quotas how much accounts may ask for
	 * @param names the names of headers
	 * @param metrics counts refusals
	 */
	public CallerAccess(AccessControl control, QuotaLedger quotas, HeaderNames names, GatewayMetrics metrics) {
		this.control = Objects.requireNonNull(control, "control is null");
		this.quotas = Objects.requireNonNull(quotas, "quotas is null");
		this.names = Objects.requireNonNull(names, "names is null");
		this.metrics = Objects.requireNonNull(metrics, "metrics is null");
	}

	/**
	 * Finds the account of a request's caller, or answers that it is not let in. While a
	 * check of the keys is awaited, the request is not read.
	 * @param request the request, whose body was not read
	 * @param response takes the answer to a caller that is not let in
	 * @param anonymous whether callers without a known key are let in
	 * @param gone tells whether the caller has left
	 * @param granted takes the account, empty for a caller without one
	 */
	void identify(HttpServerRequest request, CallerResponse response, boolean anonymous, BooleanSupplier gone,
			Consumer<Optional<ClientAccount>> granted) {
		List<String> keys = request.headers().getAll(this.names.key());
		if (!this.control.keyRequired() || (anonymous && keys.isEmpty())) {
			granted.accept(Optional.empty());
			return;
		}
		request.pause();
		this.control.authenticate(keys, (access) -> {
			if (!gone.getAsBoolean()) {
				decided(access, request, response, anonymous, granted);
				request.resume();
			}
		});
	}

	private void decided(AccessDecision access, HttpServerRequest request, CallerResponse response, boolean anonymous,
			Consumer<Optional<ClientAccount>> granted) {
		switch (access.verdict()) {
			case GRANTED -> granted.accept(access.account());
			case DENIED -> {
				if (anonymous) {
					granted.accept(Optional.empty());
				}
				else {
					refused(request, "unknown_key", Optional.empty());
					response.answer(UNAUTHORIZED, "the header " + this.names.key() + " has to hold one key in force",
							Optional.empty());
				}
			}
			case UNCONFIRMED -> {
				refused(request, "keys_unconfirmed", Optional.empty());
				response.answer(UNAVAILABLE, "not run: this instance cannot confirm which keys are in force",
						Optional.of(ELSEWHERE));
			}
		}
	}

	/**
	 * Takes a request out of the quota of its account, or answers that it is over it.
	 * @param request the request
	 * @param response takes the answer to a request that is over the quota
	 * @param account whose request it is
	 * @return the request's part of the quota, or empty if it was answered
	 */
	Optional<QuotaReservation> withinQuota(HttpServerRequest request, CallerResponse response,
			Optional<ClientAccount> account) {
		if (account.isEmpty()) {
			return Optional.of(QuotaReservation.unlimited());
		}
		QuotaReservation.Outcome outcome = QuotaReservation.reserve(this.quotas, account.get());
		if (outcome.retryAfter().isEmpty()) {
			return Optional.of(outcome.reservation());
		}
		refused(request, "over_quota", account);
		response.answer(TOO_MANY_REQUESTS, "not run: the account is over its quota", outcome.retryAfter());
		return Optional.empty();
	}

	private void refused(HttpServerRequest request, String reason, Optional<ClientAccount> account) {
		LOG.info("refused", "request", request.getHeader(this.names.requestId()), "reason", reason, "account",
				account.map(ClientAccount::name).orElse("-"), "left_and_share",
				account.map(this.quotas::summary).orElse("-"), "keys_age_ms",
				this.control.confirmationAge().map(Duration::toMillis).orElse(-1L));
		this.metrics.requestRefused(reason);
	}

}
