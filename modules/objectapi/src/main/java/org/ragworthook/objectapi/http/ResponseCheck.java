package org.ragworthook.objectapi.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import org.ragworthook.core.response.ResponseGrammar;

/**
 * Checks the head of the response on a connection that carries one request, before it is
 * decoded. Bytes that are no response close the connection. Interim responses are left
 * out: Vert.x takes all but two of their statuses for that of the response.
 */
final class ResponseCheck extends ChannelInboundHandlerAdapter {

	/** The most bytes of all heads: interim responses may follow each other endlessly. */
	private static final int MAX_HEAD_BYTES = 73_728;

	private static final int FIRST_FINAL_STATUS = 200;

	/** The lines of a head that state where its body ends. */
	private static final List<String> END_STATED = List.of("\ncontent-length:", "\ntransfer-encoding:");

	private final ResponseGrammar grammar = new ResponseGrammar();

	/** The head that is being received. */
	private final ByteBuf head = Unpooled.buffer();

	private int headBytes;

	private boolean refused;

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
		try {
			if (this.refused || !compliant(bytes)) {
				refuse(context);
				return;
			}
			if (this.grammar.complete()) {
				String received = this.head.toString(StandardCharsets.ISO_8859_1).toLowerCase(Locale.ROOT);
				this.endDelimitsResponse = END_STATED.stream().noneMatch(received::contains);
				this.head.writeBytes(bytes);
				context.fireChannelRead(this.head.retainedSlice());
				context.pipeline().remove(this);
			}
		}
		finally {
			bytes.release();
		}
	}

	/**
	 * Reads bytes up to the end of the head of the response.
	 * @param bytes the bytes
	 * @return whether they are those of heads
	 */
	private boolean compliant(ByteBuf bytes) {
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
		return true;
	}

	private void refuse(ChannelHandlerContext context) {
		if (!this.refused) {
			this.refused = true;
			context.fireExceptionCaught(new IOException("the server sent bytes that are no HTTP/1 response"));
			context.close();
		}
	}

	@Override
	public void handlerRemoved(ChannelHandlerContext context) {
		this.head.release();
	}

}
