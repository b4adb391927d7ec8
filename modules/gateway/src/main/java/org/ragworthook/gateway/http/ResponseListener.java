package org.ragworthook.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the response to one request. Called on the connection's event loop;
 * {@link #complete} or {@link #failed} is called last, once, unless the connection is
 * closed by its user before.
 */
public interface ResponseListener {

	/**
	 * Called with the status and the headers.
	 * @param head the head of the response
	 */
	void head(HttpResponse head);

	/**
	 * Called with a part of the body.
	 * @param data the bytes, valid only during the call
	 */
	void content(ByteBuf data);

	/**
	 * Called when the response is complete.
	 * @param end what marked its end
	 */
	void complete(ResponseEnd end);

	/**
	 * Called when the request has ended without a complete response.
	 * @param failure whether the request may have been executed
	 */
	void failed(SendFailure failure);

}
