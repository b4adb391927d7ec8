package org.ragworthook.gateway.attempt;

import io.netty.handler.codec.http.HttpResponse;
import org.ragworthook.gateway.http.ResponseEnd;
import org.ragworthook.gateway.http.SendFailure;

/**
 * Receives the response of an upstream to one attempt. Called on the event loop of the
 * attempt's connection; one of {@link #complete}, {@link #notExecuted} and
 * {@link #failed} is called last, once, unless the attempt is cancelled.
 */
public interface AttemptListener {

	/**
	 * Called with the status and the headers of a response that is to be forwarded.
	 * @param head the head of the response
	 */
	void head(HttpResponse head);

	/**
	 * Called with bytes of the body that may be forwarded.
	 * @param data the bytes; one complete event if the response is an event stream
	 */
	void data(byte[] data);

	/**
	 * Called when the response is complete.
	 * @param end what marked its end
	 */
	void complete(ResponseEnd end);

	/**
	 * Called when the upstream has stated that it did not execute the request.
	 * @param status the HTTP status of its response
	 */
	void notExecuted(int status);

	/**
	 * Called when the attempt has ended without a complete response.
	 * @param failure whether the request may have been executed
	 */
	void failed(SendFailure failure);

}
