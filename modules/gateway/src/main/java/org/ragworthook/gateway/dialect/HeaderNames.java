package org.ragworthook.gateway.dialect;

import java.util.Objects;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * The names of the headers that callers and upstreams use.
 *
 * @param requestId id of a request; a caller chooses a new one for each of its attempts,
 * and upstreams repeat it in the response
 * @param deadlineMillis milliseconds after which the caller no longer waits for the
 * response
 * @param promptParts the parts of the prompt in order, by which an upstream finds those
 * that it has cached
 * @param lastEventId id of the last event received; the stream resumes after it
 * @param resumes id of the request that brought the first event of the resumed stream
 * @param signature proves that a response was sent by the upstream
 * @param expectedUpstream id of the upstream that the request is addressed to
 * @param notExecuted states that the upstream did not execute the request
 * @param waitMillis milliseconds that a read of results may wait for new ones
 * @param apiKey key of the caller's account; never forwarded
 * @param account name of the account that the request belongs to, for upstreams
 */
public record HeaderNames(String requestId, String deadlineMillis, String promptParts, String lastEventId,
		String resumes, String signature, String expectedUpstream, String notExecuted, String waitMillis, String apiKey,
		String account) {

	/**
	 * Checks that no name is null.
	 */
	public HeaderNames {
		Objects.requireNonNull(requestId, "requestId is null");
		Objects.requireNonNull(deadlineMillis, "deadlineMillis is null");
		Objects.requireNonNull(promptParts, "promptParts is null");
		Objects.requireNonNull(lastEventId, "lastEventId is null");
		Objects.requireNonNull(resumes, "resumes is null");
		Objects.requireNonNull(signature, "signature is null");
		Objects.requireNonNull(expectedUpstream, "expectedUpstream is null");
		Objects.requireNonNull(notExecuted, "notExecuted is null");
		Objects.requireNonNull(waitMillis, "waitMillis is null");
		Objects.requireNonNull(apiKey, "apiKey is null");
		Objects.requireNonNull(account, "account is null");
	}

	/**
	 * Removes the key and any account that the caller stated, and sets the account that
	 * the request belongs to.
	 * @param headers the headers that are sent to an upstream
	 * @param name the account's name, or empty for a request that belongs to none
	 */
	public void replaceKeyWithAccount(HttpHeaders headers, Optional<String> name) {
		headers.remove(this.apiKey);
		headers.remove(this.account);
		name.ifPresent((present) -> headers.set(this.account, present));
	}

}
