package org.ragworthook.gateway.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import jdk.net.ExtendedSocketOptions;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.time.Ticker;

/**
 * Keeps connections for reuse, by address. Used on its event loop only.
 * <p>
 * The other side closes a connection that was idle for too long. A request sent at that
 * moment is lost, and nobody can tell whether it ran; one notices by rare broken answers
 * of an otherwise healthy upstream. Connections are therefore given up before the other
 * side does so.
 */
public final class ConnectionPool implements AutoCloseable {

	/** How long an idle connection is kept where the other side states nothing. */
	private static final long UNSTATED_IDLE_MILLIS = 2_000;

	/** How much earlier than stated an idle connection is given up: some round trips. */
	private static final long IDLE_MARGIN_MILLIS = 500;

	/** Seconds of silence before the kernel probes a connection, and between probes. */
	private static final int PROBE_SECONDS = 1;

	/** Probes without an answer after which the kernel gives a connection up. */
	private static final int PROBES = 2;

	private static final int MAX_HEAD = 65_536;

	private static final int MAX_CHUNK = 65_536;

	private static final int MAX_LINE = 8_192;

	private final EventLoop loop;

	private final Ticker ticker;

	private final Bootstrap bootstrap;

	private final Map<Address, Deque<Idle>> idle = new HashMap<>();

	private ConnectionPool(EventLoop loop, Ticker ticker, Duration connectTimeout, String idHeader) {
		this.loop = Objects.requireNonNull(loop, "loop is null");
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.bootstrap = new Bootstrap().group(loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.SO_KEEPALIVE, true)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), PROBE_SECONDS)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_SECONDS)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBES)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTimeout.toMillis())
			.handler(new ChannelInitializer<>() {

				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline()
						.addLast(new HttpClientCodec(MAX_LINE, MAX_HEAD, MAX_CHUNK))
						.addLast(new ClientConnection(channel, idHeader));
				}

			});
	}

	/**
	 * Returns a pool without connections.
	 * @param loop the thread of its connections
	 * @param ticker the time
	 * @param connectTimeout how long a new connection may take
	 * @param idHeader the header by which answers are matched to requests
	 * @return a new pool
	 */
	public static ConnectionPool of(EventLoop loop, Ticker ticker, Duration connectTimeout, String idHeader) {
		return new ConnectionPool(loop, ticker, connectTimeout, idHeader);
	}

	/**
	 * Takes a connection from the pool or opens one.
	 * @param address where to
	 * @param taken gets the connection, or empty if none could be opened
	 */
	public void acquire(Address address, Consumer<Optional<ClientConnection>> taken) {
		Optional<ClientConnection> kept = kept(address);
		if (kept.isPresent()) {
			taken.accept(kept);
			return;
		}
		ChannelFuture connecting = this.bootstrap.connect(new InetSocketAddress(address.host(), address.port()));
		connecting.addListener((done) -> taken.accept(done.isSuccess()
				? Optional.of(connecting.channel().pipeline().get(ClientConnection.class)) : Optional.empty()));
	}

	private Optional<ClientConnection> kept(Address address) {
		Deque<Idle> present = this.idle.get(address);
		if (present == null) {
			return Optional.empty();
		}
		long now = this.ticker.nanos();
		for (Idle next = present.pollLast(); next != null; next = present.pollLast()) {
			if (next.connection().reusable() && next.untilNanos() - now > 0) {
				return Optional.of(next.connection());
			}
			next.connection().abandon();
		}
		return Optional.empty();
	}

	/**
	 * Gives a connection back, to be used again if it can be.
	 * @param address where it leads
	 * @param connection the connection, without a request
	 */
	public void release(Address address, ClientConnection connection) {
		if (!connection.reusable()) {
			connection.abandon();
			return;
		}
		long keep = connection.idleLimitMillis()
			.map((limit) -> Math.max(limit / 2, limit - IDLE_MARGIN_MILLIS))
			.orElse(UNSTATED_IDLE_MILLIS);
		connection.read(true);
		this.idle.computeIfAbsent(address, (key) -> new ArrayDeque<>())
			.addLast(new Idle(connection, this.ticker.nanos() + Duration.ofMillis(keep).toNanos()));
	}

	/**
	 * Closes connections that were idle for too long.
	 */
	public void evictIdle() {
		long now = this.ticker.nanos();
		this.idle.values().removeIf((connections) -> {
			connections.removeIf((next) -> {
				boolean over = !next.connection().reusable() || next.untilNanos() - now <= 0;
				if (over) {
					next.connection().abandon();
				}
				return over;
			});
			return connections.isEmpty();
		});
	}

	/**
	 * Returns the thread of the connections.
	 * @return the event loop
	 */
	public EventLoop loop() {
		return this.loop;
	}

	@Override
	public void close() {
		this.loop.execute(() -> {
			this.idle.values().forEach((all) -> all.forEach((next) -> next.connection().abandon()));
			this.idle.clear();
		});
	}

	private record Idle(ClientConnection connection, long untilNanos) {
	}

}
