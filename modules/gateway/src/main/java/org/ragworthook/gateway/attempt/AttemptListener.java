package org.ragworthook.gateway.attempt;

import io.netty.handler.codec.http.HttpResponse;
import org.ragworthook.gateway.http.SendFailure;

/**
 * Takes what an upstream answers to one attempt.
 */
public interface AttemptListener {

	/**
	 * Takes the head of an answer that is to be passed on.
	 * @param head the head
	 */
	void head(HttpResponse head);

	/**
	 * Takes bytes of the body that may be passed on.
	 * @param data the bytes; whole events if the answer is a stream
	 */
	void data(byte[] data);

	/**
	 * Learns that the answer is complete.
	 */
	void complete();

	/**
	 * Learns that the upstream did not run the request and says so.
	 * @param status its status
	 */
	void notExecuted(int status);

	/**
	 * Learns that no complete answer comes.
	 * @param failure what is known of the request
	 */
	void failed(SendFailure failure);

}
