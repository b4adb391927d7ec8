package org.ragworthook.gateway.online;

import java.time.Duration;
import java.util.Optional;

import io.netty.handler.codec.http.HttpResponse;

/**
 * The way back to a caller.
 */
interface CallerResponse {

	/**
	 * Sends the head of an upstream's answer.
	 * @param head the head
	 */
	void head(HttpResponse head);

	/**
	 * Sends a part of the body.
	 * @param data the bytes, to be kept by the response
	 */
	void write(byte[] data);

	/**
	 * Ends the answer as complete.
	 */
	void end();

	/**
	 * Breaks the answer off, so that the caller sees that it is not complete.
	 */
	void breakOff();

	/**
	 * Sends an answer of our own.
	 * @param status the HTTP status
	 * @param detail what happened, for the caller
	 * @param retryAfter when the caller may come again, or empty
	 */
	void answer(int status, String detail, Optional<Duration> retryAfter);

	/**
	 * Tells whether the caller reads too slowly for more to be written now.
	 * @return whether to wait for {@link #onWritable}
	 */
	boolean full();

	/**
	 * Asks to be told once when the caller has read on.
	 * @param listener what to run
	 */
	void onWritable(Runnable listener);

}
