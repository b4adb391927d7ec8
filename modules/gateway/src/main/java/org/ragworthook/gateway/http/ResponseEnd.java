package org.ragworthook.gateway.http;

import java.util.Locale;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;

/**
 * What marks the end of a response.
 */
public enum ResponseEnd {

	/** The last chunk of a body that is sent in chunks. */
	LAST_CHUNK,

	/** The stated length, which is 0 for a status that has no body. */
	LENGTH,

	/** The end of the connection, since neither chunks nor a length are stated. */
	CONNECTION_CLOSED;

	/**
	 * Returns what marks the end of a response.
	 * @param head the head of the response
	 * @return the mark that the head states
	 */
	static ResponseEnd statedBy(HttpResponse head) {
		if (HttpUtil.isTransferEncodingChunked(head)) {
			return LAST_CHUNK;
		}
		int status = head.status().code();
		boolean withoutBody = status == 204 || status == 304;
		return (withoutBody || HttpUtil.isContentLengthSet(head)) ? LENGTH : CONNECTION_CLOSED;
	}

	/**
	 * Returns the name for logs.
	 * @return the name in lower case
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
