package org.ragworthook.wire.link;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.timeout.IdleStateHandler;
import org.ragworthook.wire.message.Frame;

/**
 * Sets up the channel pipeline of a link: protobuf frames, each preceded by its length in
 * four bytes.
 */
final class LinkChannels {

	private static final int LENGTH_BYTES = 4;

	private static final int FLUSH_AFTER_WRITES = 64;

	private LinkChannels() {
	}

	static void init(Channel channel, LinkOptions options, Optional<SslHandler> tls, LinkHandler handler) {
		ChannelPipeline pipeline = channel.pipeline();
		tls.ifPresent(pipeline::addLast);
		pipeline.addLast(new FlushConsolidationHandler(FLUSH_AFTER_WRITES, true));
		pipeline.addLast(new IdleStateHandler(options.timeout().toMillis(), options.heartbeat().toMillis(), 0,
				TimeUnit.MILLISECONDS));
		pipeline.addLast(new LengthFieldBasedFrameDecoder(options.maxFrameBytes(), 0, LENGTH_BYTES, 0, LENGTH_BYTES));
		pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
		pipeline.addLast(new ProtobufDecoder(Frame.getDefaultInstance()));
		pipeline.addLast(new ProtobufEncoder());
		pipeline.addLast(handler);
	}

}
