package org.ragworthook.gateway.dialect;

import java.util.Objects;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * The names of the headers that callers and upstreams use.
 *
 * @param requestId names one attempt of a caller; upstreams repeat it
 * @param deadlineMillis how many milliseconds the answer is waited for
 * @param promptParts the parts of the prompt in order, for reuse of what is kept of them
 * @param lastEventId after which event a stream goes on
 * @param signature proves that an answer is the upstream's
 * @param expectedUpstream the id of the upstream that is to run the request
 * @param notExecuted states that the upstream did not run the request
 * @param waitMillis how long a read may be kept waiting
 * @param key the key of the caller's account; never passed on
 * @param account tells an upstream whose request it is
 */
public record HeaderNames(String requestId, String deadlineMillis, String promptParts, String lastEventId,
		String signature, String expectedUpstream, String notExecuted, String waitMillis, String key, String account) {

	/**
	 * Checks that all names are there.
	 */
	public HeaderNames {
		Objects.requireNonNull(requestId, "requestId is null");
		Objects.requireNonNull(deadlineMillis, "deadlineMillis is null");
		Objects.requireNonNull(promptParts, "promptParts is null");
		Objects.requireNonNull(lastEventId, "lastEventId is null");
		Objects.requireNonNull(signature, "signature is null");
		Objects.requireNonNull(expectedUpstream, "expectedUpstream is null");
		Objects.requireNonNull(notExecuted, "notExecuted is null");
		Objects.requireNonNull(waitMillis, "waitMillis is null");
		Objects.requireNonNull(key, "key is null");
		Objects.requireNonNull(account, "account is null");
	}

	/**
	 * Puts an account in the place of a key, whatever the caller sent as its account.
	 * @param headers the headers that an upstream is to get
	 * @param name the account's name, or empty for a request that belongs to none
	 */
	public void replaceKeyWithAccount(HttpHeaders headers, Optional<String> name) {
		headers.remove(this.key);
		headers.remove(this.account);
		name.ifPresent((present) -> headers.set(this.account, present));
	}

}
