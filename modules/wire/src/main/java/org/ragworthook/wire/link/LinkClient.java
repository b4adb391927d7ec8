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
 * Keeps one link to another process open until closed: a link that is lost is opened
 * again, after a delay that doubles with each failure and is drawn at random, so that a
 * process which comes back is not met by all others at once.
 */
public final class LinkClient implements AutoCloseable {

	private static final long MIN_DELAY_MILLIS = 20;

	private static final long MAX_DELAY_MILLIS = 2_000;

	private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

	private final EventLoop loop;

	private final Address address;

	private final LinkOptions options;

	private final Supplier<Hello> hello;

	private final LinkListener listener;

	private volatile boolean closed;

	private volatile Channel channel;

	private long delayMillis = MIN_DELAY_MILLIS;

	private LinkClient(EventLoop loop, Address address, LinkOptions options, Supplier<Hello> hello,
			LinkListener listener) {
		this.loop = loop;
		this.address = address;
		this.options = options;
		this.hello = hello;
		this.listener = listener;
	}

	/**
	 * Starts to connect.
	 * @param loops the threads of the links
	 * @param address where the other process listens
	 * @param options how links behave
	 * @param hello makes the greeting for each attempt
	 * @param listener takes what happens on the link
	 * @return the client, connecting
	 */
	public static LinkClient connect(EventLoopGroup loops, Address address, LinkOptions options, Supplier<Hello> hello,
			LinkListener listener) {
		LinkClient client = new LinkClient(loops.next(), Objects.requireNonNull(address, "address is null"),
				Objects.requireNonNull(options, "options is null"), Objects.requireNonNull(hello, "hello is null"),
				Objects.requireNonNull(listener, "listener is null"));
		client.loop.execute(client::attempt);
		return client;
	}

	private void attempt() {
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
							LinkHandler.connecting(new Resetting(), LinkClient.this.hello.get()));
				}

			})
			.connect(new InetSocketAddress(this.address.host(), this.address.port()));
		this.channel = connecting.channel();
		connecting.channel().closeFuture().addListener((done) -> again());
		if (this.closed) {
			connecting.channel().close();
		}
	}

	private Optional<SslHandler> tls(Channel created) {
		return this.options.tls()
			.map((identity) -> identity.client().newHandler(created.alloc(), this.address.host(), this.address.port()));
	}

	private void again() {
		if (!this.closed) {
			long wait = this.delayMillis / 2 + ThreadLocalRandom.current().nextLong(this.delayMillis);
			this.delayMillis = Math.min(MAX_DELAY_MILLIS, this.delayMillis * 2);
			this.loop.schedule(this::attempt, wait, TimeUnit.MILLISECONDS);
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
	 * Passes everything on and takes the delay back once a link is open.
	 */
	private final class Resetting implements LinkListener {

		@Override
		public void opened(Link link) {
			LinkClient.this.delayMillis = MIN_DELAY_MILLIS;
			LinkClient.this.listener.opened(link);
		}

		@Override
		public void received(Link link, Frame frame) {
			LinkClient.this.listener.received(link, frame);
		}

		@Override
		public void closed(Link link) {
			LinkClient.this.listener.closed(link);
		}

	}

}
