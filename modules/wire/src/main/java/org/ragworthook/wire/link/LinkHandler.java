package org.ragworthook.wire.link;

import java.util.function.Function;
import java.util.function.Supplier;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.wire.message.Frame;
import org.ragworthook.wire.message.Hello;
import org.ragworthook.wire.message.Lane;
import org.ragworthook.wire.message.Ping;
import org.ragworthook.wire.message.Pong;
import org.ragworthook.wire.message.Welcome;

/**
 * Handles the handshake, the heartbeat and the frames of one channel.
 * <p>
 * If an instance disappears without closing its connections, TCP keeps them open for many
 * minutes, and requests sent on them would wait that long. So a ping is sent after the
 * heartbeat interval without a write, and the channel is closed if nothing has been
 * received within the timeout.
 */
final class LinkHandler extends SimpleChannelInboundHandler<Frame> {

	static final int PROTOCOL = 1;

	private static final EventLog LOG = EventLog.of(LinkHandler.class);

	private final LinkListener listener;

	private final Function<ChannelHandlerContext, Frame> handshakeFrame;

	private final boolean accepting;

	private final Lane expectedLane;

	private Link link;

	private LinkHandler(LinkListener listener, Function<ChannelHandlerContext, Frame> handshakeFrame, boolean accepting,
			Lane expectedLane) {
		this.listener = listener;
		this.handshakeFrame = handshakeFrame;
		this.accepting = accepting;
		this.expectedLane = expectedLane;
	}

	static LinkHandler connecting(LinkListener listener, Hello hello) {
		Frame frame = Frame.newBuilder().setHello(hello.toBuilder().setProtocol(PROTOCOL)).build();
		return new LinkHandler(listener, (context) -> frame, false, hello.getLane());
	}

	static LinkHandler accepting(LinkListener listener, Supplier<Welcome> welcome) {
		return new LinkHandler(listener, (context) -> Frame.newBuilder().setWelcome(welcome.get()).build(), true,
				Lane.LANE_UNSPECIFIED);
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		if (!this.accepting) {
			context.writeAndFlush(this.handshakeFrame.apply(context));
		}
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, Frame frame) {
		switch (frame.getBodyCase()) {
			case HELLO -> acceptHello(context, frame.getHello());
			case WELCOME -> open(context, this.expectedLane, Remote.of(frame.getWelcome()));
			case PING -> context.writeAndFlush(
					Frame.newBuilder().setPong(Pong.newBuilder().setNumber(frame.getPing().getNumber())).build());
			case PONG -> {
			}
			default -> deliver(context, frame);
		}
	}

	private void acceptHello(ChannelHandlerContext context, Hello hello) {
		if (!this.accepting || this.link != null || hello.getProtocol() != PROTOCOL
				|| hello.getLane() == Lane.LANE_UNSPECIFIED || hello.getLane() == Lane.UNRECOGNIZED) {
			LOG.warning("link_refused", "remote", hello.getInstance(), "protocol", hello.getProtocol(), "lane",
					hello.getLaneValue());
			context.close();
			return;
		}
		context.writeAndFlush(this.handshakeFrame.apply(context));
		open(context, hello.getLane(), Remote.of(hello));
	}

	private void open(ChannelHandlerContext context, Lane lane, Remote remote) {
		if (this.link == null) {
			this.link = new Link(context.channel(), lane, remote);
			this.listener.opened(this.link);
		}
	}

	private void deliver(ChannelHandlerContext context, Frame frame) {
		if (this.link == null) {
			context.close();
			return;
		}
		this.listener.received(this.link, frame);
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
		if (event instanceof IdleStateEvent idle) {
			if (idle.state() == IdleState.READER_IDLE) {
				LOG.warning("link_silent", "remote", remoteName(), "address", context.channel().remoteAddress());
				context.close();
			}
			else if (this.link != null) {
				context.writeAndFlush(Frame.newBuilder().setPing(Ping.getDefaultInstance()).build());
			}
			return;
		}
		super.userEventTriggered(context, event);
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		if (this.link != null && this.link.writable()) {
			this.listener.writable(this.link);
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		if (this.link != null) {
			this.listener.closed(this.link);
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		LOG.debug("link_failed", "remote", remoteName(), "error", cause);
		context.close();
	}

	private String remoteName() {
		return (this.link != null) ? this.link.remote().instance() : "unknown";
	}

}
