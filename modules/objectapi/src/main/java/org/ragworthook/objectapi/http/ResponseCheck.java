package org.ragworthook.objectapi.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import org.ragworthook.core.response.ResponseGrammar;

/**
 * Checks the response on a connection that carries one request, before it is decoded: the
 * head, and the lines of a body in chunks. Bytes that are no response close the
 * connection. Interim responses are left out: Vert.x takes all but two of their statuses
 * for that of the response.
 */
final class ResponseCheck extends ChannelInboundHandlerAdapter {

	/** The most bytes of all heads: interim responses may follow each other endlessly. */
	private static final int MAX_HEAD_BYTES = 73_728;

	private static final int FIRST_FINAL_STATUS = 200;

	/** The lines of a head that state where its body ends. */
	private static final List<String> END_STATED = List.of("\ncontent-length:", "\ntransfer-encoding:");

	/** The line that states a body in chunks. */
	private static final Pattern CHUNKED = Pattern.compile("\ntransfer-encoding:[ \t]*chunked[ \t]*\r");

	private final ResponseGrammar grammar = new ResponseGrammar();

	/** The head that is being received, empty once it was passed on. */
	private ByteBuf head = Unpooled.buffer();

	private int headBytes;

	private Part part = Part.HEAD;

	private boolean endDelimitsResponse;

	/**
	 * Returns whether the end of the connection would be that of the response.
	 * @return whether the head was received and states neither a length nor chunks
	 */
	boolean endDelimitsResponse() {
		return this.endDelimitsResponse;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		ByteBuf bytes = (ByteBuf) message;
		if (!compliant(bytes)) {
			bytes.release();
			refuse(context);
		}
		else if (this.part == Part.HEAD) {
			bytes.release();
		}
		else {
			context.fireChannelRead(withHead(bytes));
			if (this.part == Part.UNCHECKED) {
				context.pipeline().remove(this);
			}
		}
	}

	/**
	 * Checks bytes. Those of a head are kept, those behind it remain to be read.
	 * @param bytes the bytes
	 * @return whether they belong to a response
	 */
	private boolean compliant(ByteBuf bytes) {
		if (this.part == Part.HEAD && !compliantHead(bytes)) {
			return false;
		}
		if (this.part == Part.CHUNKS) {
			if (!this.grammar.accepts(bytes.nioBuffer())) {
				return false;
			}
			this.part = this.grammar.complete() ? Part.UNCHECKED : Part.CHUNKS;
		}
		return this.part != Part.REFUSED;
	}

	private boolean compliantHead(ByteBuf bytes) {
		while (bytes.isReadable() && !this.grammar.complete()) {
			byte next = bytes.readByte();
			this.head.writeByte(next);
			this.headBytes++;
			if (this.headBytes > MAX_HEAD_BYTES || !this.grammar.accepts(next)) {
				return false;
			}
			if (this.grammar.complete() && this.grammar.status() < FIRST_FINAL_STATUS) {
				this.head.clear();
				this.grammar.beginHead();
			}
		}
		if (this.grammar.complete()) {
			beginBody();
		}
		return true;
	}

	private void beginBody() {
		String received = this.head.toString(StandardCharsets.ISO_8859_1).toLowerCase(Locale.ROOT);
		this.endDelimitsResponse = END_STATED.stream().noneMatch(received::contains);
		this.part = CHUNKED.matcher(received).find() ? Part.CHUNKS : Part.UNCHECKED;
		if (this.part == Part.CHUNKS) {
			this.grammar.beginChunks();
		}
	}

	private ByteBuf withHead(ByteBuf body) {
		if (!this.head.isReadable()) {
			return body;
		}
		ByteBuf received = this.head.writeBytes(body);
		this.head = Unpooled.EMPTY_BUFFER;
		body.release();
		return received;
	}

	private void refuse(ChannelHandlerContext context) {
		if (this.part != Part.REFUSED) {
			this.part = Part.REFUSED;
			context.fireExceptionCaught(new IOException("the server sent bytes that are no HTTP/1 response"));
			context.close();
		}
	}

	@Override
	public void handlerRemoved(ChannelHandlerContext context) {
		this.head.release();
	}

	/** What is received next. */
	private enum Part {

		HEAD, CHUNKS,

		/** A body without chunks, or bytes behind a response. */
		UNCHECKED,

		/** Nothing, as the bytes before were no response. */
		REFUSED

	}

}
