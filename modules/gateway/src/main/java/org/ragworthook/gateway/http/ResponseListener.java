package org.ragworthook.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Takes the answer to one request. Called on the connection's event loop;
 * {@link #complete} or {@link #failed} comes last, once, unless the request is abandoned.
 */
public interface ResponseListener {

	/**
	 * Takes the status and the headers.
	 * @param head the head of the answer
	 */
	void head(HttpResponse head);

	/**
	 * Takes a part of the body.
	 * @param data the bytes, valid during the call
	 */
	void content(ByteBuf data);

	/**
	 * Learns that the whole answer has come.
	 */
	void complete();

	/**
	 * Learns that no complete answer comes.
	 * @param failure what is known of the request
	 */
	void failed(SendFailure failure);

}
