package org.ragworthook.wire.link;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.ssl.SslHandler;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.wire.message.Frame;
import org.ragworthook.wire.message.Hello;

/**
 * Keeps one link to another process open until closed. A lost link is reopened after an
 * exponential back-off with jitter, so that a restarted process is not contacted by all
 * others at once.
 */
public final class LinkClient implements AutoCloseable {

	private static final long MIN_RECONNECT_DELAY_MILLIS = 20;

	private static final long MAX_RECONNECT_DELAY_MILLIS = 2_000;

	private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

	private final EventLoop loop;

	private final Address address;

	private final LinkOptions options;

	private final Supplier<Hello> hello;

	private final LinkListener listener;

	private volatile boolean closed;

	private volatile Channel channel;

	private long reconnectDelayMillis = MIN_RECONNECT_DELAY_MILLIS;

	private LinkClient(EventLoop loop, Address address, LinkOptions options, Supplier<Hello> hello,
			LinkListener listener) {
		this.loop = loop;
		this.address = address;
		this.options = options;
		this.hello = hello;
		this.listener = listener;
	}

	/**
	 * Starts connecting to another process.
	 * @param loops the event loops that run the links
	 * @param address the address that the other process listens on
	 * @param options the options of the link
	 * @param hello supplies the handshake message of each connection attempt
	 * @param listener called with the events of the link
	 * @return a client that is connecting
	 */
	public static LinkClient connect(EventLoopGroup loops, Address address, LinkOptions options, Supplier<Hello> hello,
			LinkListener listener) {
		LinkClient client = new LinkClient(loops.next(), Objects.requireNonNull(address, "address is null"),
				Objects.requireNonNull(options, "options is null"), Objects.requireNonNull(hello, "hello is null"),
				Objects.requireNonNull(listener, "listener is null"));
		client.loop.execute(client::openChannel);
		return client;
	}

	private void openChannel() {
		if (this.closed) {
			return;
		}
		ChannelFuture connecting = new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.handler(new ChannelInitializer<>() {

				@Override
				protected void initChannel(Channel created) {
					LinkChannels.init(created, LinkClient.this.options, tls(created),
							LinkHandler.connecting(new BackoffResettingListener(), LinkClient.this.hello.get()));
				}

			})
			.connect(new InetSocketAddress(this.address.host(), this.address.port()));
		this.channel = connecting.channel();
		connecting.channel().closeFuture().addListener((done) -> scheduleReconnect());
		if (this.closed) {
			connecting.channel().close();
		}
	}

	private Optional<SslHandler> tls(Channel created) {
		return this.options.tls()
			.map((identity) -> identity.client().newHandler(created.alloc(), this.address.host(), this.address.port()));
	}

	private void scheduleReconnect() {
		if (!this.closed) {
			long jitteredDelayMillis = this.reconnectDelayMillis / 2
					+ ThreadLocalRandom.current().nextLong(this.reconnectDelayMillis);
			this.reconnectDelayMillis = Math.min(MAX_RECONNECT_DELAY_MILLIS, this.reconnectDelayMillis * 2);
			this.loop.schedule(this::openChannel, jitteredDelayMillis, TimeUnit.MILLISECONDS);
		}
	}

	@Override
	public void close() {
		this.closed = true;
		Channel open = this.channel;
		if (open != null) {
			open.close();
		}
	}

	/**
	 * Forwards all events and resets the back-off when a link has been opened.
	 */
	private final class BackoffResettingListener implements LinkListener {

		@Override
		public void opened(Link link) {
			LinkClient.this.reconnectDelayMillis = MIN_RECONNECT_DELAY_MILLIS;
			LinkClient.this.listener.opened(link);
		}

		@Override
		public void received(Link link, Frame frame) {
			LinkClient.this.listener.received(link, frame);
		}

		@Override
		public void writable(Link link) {
			LinkClient.this.listener.writable(link);
		}

		@Override
		public void closed(Link link) {
			LinkClient.this.listener.closed(link);
		}

	}

}
