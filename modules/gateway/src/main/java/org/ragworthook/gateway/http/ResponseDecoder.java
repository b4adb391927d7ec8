package org.ragworthook.gateway.http;

import java.util.Objects;
import java.util.function.Predicate;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes responses, of which some belong to earlier requests.
 * <p>
 * Netty's client codec takes the n-th response for the one to the n-th request and leaves
 * out its body if that request was a HEAD. An interim or a second response shifts the
 * count: the body of a second response is then read as a response of its own, or a body
 * is awaited that does not follow. Whether a body follows is therefore decided by the
 * request that the response belongs to.
 */
final class ResponseDecoder extends HttpResponseDecoder {

	private final Predicate<HttpResponse> withoutBody;

	/**
	 * Creates a decoder.
	 * @param config the limits
	 * @param withoutBody returns whether a response belongs to a HEAD request
	 */
	ResponseDecoder(HttpDecoderConfig config, Predicate<HttpResponse> withoutBody) {
		super(config);
		this.withoutBody = Objects.requireNonNull(withoutBody, "withoutBody is null");
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		return super.isContentAlwaysEmpty(message) || this.withoutBody.test((HttpResponse) message);
	}

	/**
	 * Returns how much was received and is not decoded yet.
	 * @return the number of bytes
	 */
	int undecodedBytes() {
		return actualReadableBytes();
	}

}
