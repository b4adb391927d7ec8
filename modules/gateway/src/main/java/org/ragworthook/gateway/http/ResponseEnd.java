package org.ragworthook.gateway.http;

import java.util.Locale;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;

/**
 * What marks the end of a response.
 */
public enum ResponseEnd {

	/** The last chunk of a body that is sent in chunks. */
	LAST_CHUNK,

	/** The stated length, or the end of the head of a response that has no body. */
	LENGTH,

	/** The end of the connection, since neither chunks nor a length are stated. */
	CONNECTION_CLOSED;

	/**
	 * Returns what marks the end of a response.
	 * @param method the method of the request
	 * @param head the head of the response
	 * @return the mark that the head states
	 */
	static ResponseEnd statedBy(HttpMethod method, HttpResponse head) {
		int status = head.status().code();
		if (HttpMethod.HEAD.equals(method) || status == 204 || status == 304) {
			return LENGTH;
		}
		if (HttpUtil.isTransferEncodingChunked(head)) {
			return LAST_CHUNK;
		}
		return HttpUtil.isContentLengthSet(head) ? LENGTH : CONNECTION_CLOSED;
	}

	/**
	 * Returns the name for logs.
	 * @return the name in lower case
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
