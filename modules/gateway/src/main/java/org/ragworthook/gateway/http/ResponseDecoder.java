package org.ragworthook.gateway.http;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Objects;
import java.util.function.Predicate;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.ragworthook.core.response.ResponseGrammar;

/**
 * Decodes responses, of which some belong to earlier requests.
 * <p>
 * Netty's client codec takes the n-th response for the one to the n-th request and leaves
 * out its body if that request was a HEAD. An interim or a second response shifts the
 * count: the body of a second response is then read as a response of its own, or a body
 * is awaited that does not follow. Whether a body follows is therefore decided by the
 * request that the response belongs to.
 * <p>
 * Netty's decoder repairs malformed heads and chunk sizes. All that it reads beside
 * bodies is therefore checked against {@link ResponseGrammar}, and a message that does
 * not comply is replaced by one whose decoder result is a failure.
 */
final class ResponseDecoder extends HttpResponseDecoder {

	private final Predicate<HttpResponse> withoutBody;

	private final ResponseGrammar grammar = new ResponseGrammar();

	private Part part = Part.CHECKED;

	/**
	 * Creates a decoder.
	 * @param config the limits
	 * @param withoutBody returns whether a response belongs to a HEAD request
	 */
	ResponseDecoder(HttpDecoderConfig config, Predicate<HttpResponse> withoutBody) {
		super(config);
		this.withoutBody = Objects.requireNonNull(withoutBody, "withoutBody is null");
	}

	/**
	 * Decodes some bytes. Netty's decoder reads heads, chunk sizes and trailers by whole
	 * lines, and in one call either a head or the body behind it.
	 */
	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
		if (this.part == Part.MALFORMED) {
			buffer.skipBytes(buffer.readableBytes());
			return;
		}
		int from = buffer.readerIndex();
		int before = out.size();
		super.decode(context, buffer, out);
		List<Object> decoded = out.subList(before, out.size());
		if (this.part == Part.CHECKED && !compliant(buffer.nioBuffer(from, buffer.readerIndex() - from))) {
			decoded.forEach(ReferenceCountUtil::release);
			decoded.clear();
			out.add(malformed());
			this.part = Part.MALFORMED;
			return;
		}
		decoded.forEach(this::follow);
	}

	private boolean compliant(ByteBuffer bytes) {
		return this.grammar.accepts(bytes) && !bytes.hasRemaining();
	}

	private HttpMessage malformed() {
		HttpMessage message = createInvalidMessage();
		message.setDecoderResult(DecoderResult.failure(new DecoderException("not an HTTP/1 response")));
		return message;
	}

	private void follow(Object message) {
		if (message instanceof HttpResponse head) {
			boolean chunked = HttpUtil.isTransferEncodingChunked(head);
			if (chunked) {
				this.grammar.beginChunks();
			}
			this.part = chunked ? Part.CHECKED : Part.BODY;
		}
		if (message instanceof LastHttpContent) {
			this.grammar.beginHead();
			this.part = Part.CHECKED;
		}
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

	/** What is read next. */
	private enum Part {

		/** A head, or a body in chunks. */
		CHECKED,

		/** A body that is delimited by its length or by the end of the connection. */
		BODY,

		/** Nothing, as the bytes before were no response. */
		MALFORMED

	}

}
