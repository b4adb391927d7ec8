package org.ragworthook.gateway.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.handler.codec.http.HttpRequestEncoder;
import jdk.net.ExtendedSocketOptions;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.gateway.memory.ByteBudget;
import org.ragworthook.wire.http.OrderlyEndHandler;

/**
 * A pool of keep-alive connections by address. Used on its event loop only.
 * <p>
 * A server closes connections that were idle for too long. A request that is sent at that
 * moment is lost, and it is unknown whether it was executed; this shows as rare broken
 * responses of an otherwise healthy upstream. The pool therefore closes idle connections
 * before the server does.
 * <p>
 * A connection on which bytes arrive fast is read once in each round of the event loop,
 * so that it does not delay the others.
 */
public final class ConnectionPool implements AutoCloseable {

	/** Idle time after which a connection is closed if the server states no timeout. */
	private static final long DEFAULT_IDLE_MILLIS = 2_000;

	/**
	 * How much earlier than the server's stated timeout an idle connection is closed:
	 * some round trips.
	 */
	private static final long IDLE_MARGIN_MILLIS = 500;

	/** Idle seconds before the first TCP keep-alive probe, and between probes. */
	private static final int KEEP_ALIVE_PROBE_SECONDS = 1;

	/** Unanswered TCP keep-alive probes after which the kernel drops a connection. */
	private static final int KEEP_ALIVE_PROBES = 2;

	/** Limit of a pool that states none: that of an object of the platform's store. */
	private static final long DEFAULT_MAX_VALUE_BYTES = 1 << 20;

	private final EventLoop loop;

	private final Ticker ticker;

	private final Bootstrap bootstrap;

	private final ByteBudget budget;

	private final LongSupplier maxValueBytes;

	private final Map<Address, Deque<IdleConnection>> idle = new HashMap<>();

	private Consumer<String> skipListener = (reason) -> {
	};

	private ConnectionPool(EventLoop loop, Ticker ticker, Duration connectTimeout, String requestIdHeader,
			ByteBudget budget, IntSupplier pauses, LongSupplier maxValueBytes) {
		this.loop = Objects.requireNonNull(loop, "loop is null");
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.budget = Objects.requireNonNull(budget, "budget is null");
		Objects.requireNonNull(pauses, "pauses is null");
		this.maxValueBytes = Objects.requireNonNull(maxValueBytes, "maxValueBytes is null");
		this.bootstrap = new Bootstrap().group(loop)
			.channelFactory(UpstreamSocketChannel::new)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.RECVBUF_ALLOCATOR, new AdaptiveRecvByteBufAllocator().maxMessagesPerRead(1))
			.option(ChannelOption.SO_KEEPALIVE, true)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_PROBE_SECONDS)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_PROBE_SECONDS)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTimeout.toMillis())
			.handler(new ChannelInitializer<UpstreamSocketChannel>() {

				@Override
				protected void initChannel(UpstreamSocketChannel channel) {
					ClientConnection connection = new ClientConnection(channel, requestIdHeader, budget,
							new ReadingPauses(ticker, pauses),
							(reason) -> ConnectionPool.this.skipListener.accept(reason));
					channel.pipeline()
						.addLast(new OrderlyEndHandler(connection::endDelimitsResponse))
						.addLast(new HttpRequestEncoder())
						.addLast(connection.decoder())
						.addLast(connection);
				}

			});
	}

	/**
	 * Creates an empty pool.
	 * @param loop the event loop of the connections
	 * @param ticker the monotonic clock
	 * @param connectTimeout the time limit for opening a connection
	 * @param requestIdHeader the name of the header by which responses are matched to
	 * requests
	 * @return the pool
	 */
	public static ConnectionPool of(EventLoop loop, Ticker ticker, Duration connectTimeout, String requestIdHeader) {
		return of(loop, ticker, connectTimeout, requestIdHeader, ByteBudget.unlimited(), () -> 0);
	}

	/**
	 * Creates an empty pool whose connections count what they hold.
	 * @param loop the event loop of the connections
	 * @param ticker the monotonic clock
	 * @param connectTimeout the time limit for opening a connection
	 * @param requestIdHeader the name of the header by which responses are matched to
	 * requests
	 * @param budget limits the bytes that connections hold
	 * @param pauses returns how often this process was paused so far
	 * @return the pool
	 */
	public static ConnectionPool of(EventLoop loop, Ticker ticker, Duration connectTimeout, String requestIdHeader,
			ByteBudget budget, IntSupplier pauses) {
		return of(loop, ticker, connectTimeout, requestIdHeader, budget, pauses, () -> DEFAULT_MAX_VALUE_BYTES);
	}

	/**
	 * Creates an empty pool whose connections count what they hold.
	 * @param loop the event loop of the connections
	 * @param ticker the monotonic clock
	 * @param connectTimeout the time limit for opening a connection
	 * @param requestIdHeader the name of the header by which responses are matched to
	 * requests
	 * @param budget limits the bytes that connections hold
	 * @param pauses returns how often this process was paused so far
	 * @param maxValueBytes returns the most bytes of an event, or of another response
	 * that is no stream
	 * @return the pool
	 */
	public static ConnectionPool of(EventLoop loop, Ticker ticker, Duration connectTimeout, String requestIdHeader,
			ByteBudget budget, IntSupplier pauses, LongSupplier maxValueBytes) {
		return new ConnectionPool(loop, ticker, connectTimeout, requestIdHeader, budget, pauses, maxValueBytes);
	}

	/**
	 * Sets who is told of responses that are skipped, since they are not known to belong
	 * to the request in progress. Called before the pool is used.
	 * @param listener receives the reason for each one
	 */
	public void onSkippedResponse(Consumer<String> listener) {
		this.skipListener = Objects.requireNonNull(listener, "listener is null");
	}

	/**
	 * Returns the budget that the connections use.
	 * @return the budget
	 */
	public ByteBudget budget() {
		return this.budget;
	}

	/**
	 * Returns the limit on what a sound server sends at once.
	 * @return the most bytes of an event, or of another response that is no stream
	 */
	public long maxValueBytes() {
		return this.maxValueBytes.getAsLong();
	}

	/**
	 * Takes an idle connection from the pool or opens a new one.
	 * @param address the server's address
	 * @param consumer receives the connection, or empty if none could be opened
	 */
	public void acquire(Address address, Consumer<Optional<ClientConnection>> consumer) {
		acquire(address, (idle) -> true, consumer);
	}

	/**
	 * Takes an idle connection from the pool that can carry a request, or opens a new
	 * one.
	 * @param address the server's address
	 * @param requestId the id of the request
	 * @param consumer receives the connection, or empty if none could be opened
	 */
	public void acquire(Address address, String requestId, Consumer<Optional<ClientConnection>> consumer) {
		acquire(address, (idle) -> idle.accepts(requestId), consumer);
	}

	private void acquire(Address address, Predicate<ClientConnection> usable,
			Consumer<Optional<ClientConnection>> consumer) {
		Optional<ClientConnection> pooled = pollIdle(address, usable);
		if (pooled.isPresent()) {
			consumer.accept(pooled);
			return;
		}
		ChannelFuture connecting = this.bootstrap.connect(new InetSocketAddress(address.host(), address.port()));
		connecting.addListener((done) -> consumer.accept(done.isSuccess()
				? Optional.of(connecting.channel().pipeline().get(ClientConnection.class)) : Optional.empty()));
	}

	private Optional<ClientConnection> pollIdle(Address address, Predicate<ClientConnection> usable) {
		Deque<IdleConnection> connections = this.idle.get(address);
		if (connections == null) {
			return Optional.empty();
		}
		long now = this.ticker.nanos();
		Iterator<IdleConnection> newestFirst = connections.descendingIterator();
		while (newestFirst.hasNext()) {
			IdleConnection next = newestFirst.next();
			boolean alive = next.connection().reusable() && next.expiryNanos() - now > 0;
			if (alive && !usable.test(next.connection())) {
				continue;
			}
			newestFirst.remove();
			if (alive) {
				return Optional.of(next.connection());
			}
			next.connection().close();
		}
		return Optional.empty();
	}

	/**
	 * Returns a connection to the pool, or closes it if it cannot be reused. A connection
	 * behind whose response the decoder holds more bytes is returned after they are read.
	 * @param address the server's address
	 * @param connection the connection, without a request in progress
	 */
	public void release(Address address, ClientConnection connection) {
		connection.afterRead(() -> keep(address, connection));
	}

	private void keep(Address address, ClientConnection connection) {
		if (!connection.reusable()) {
			connection.close();
			return;
		}
		long idleMillis = connection.idleLimitMillis()
			.map((stated) -> Math.max(stated / 2, stated - IDLE_MARGIN_MILLIS))
			.orElse(DEFAULT_IDLE_MILLIS);
		connection.autoRead(true);
		this.idle.computeIfAbsent(address, (key) -> new ArrayDeque<>())
			.addLast(new IdleConnection(connection, this.ticker.nanos() + Duration.ofMillis(idleMillis).toNanos()));
	}

	/**
	 * Returns a connection to the pool once the rest of its response was received, or
	 * closes it if the rest is long or does not arrive soon. The listener of the request
	 * is not called any more.
	 * @param address the server's address
	 * @param connection the connection, on which a head was received
	 */
	public void releaseAfterResponse(Address address, ClientConnection connection) {
		connection.passRestTo(new DiscardedBody(connection, this.loop, () -> release(address, connection)));
	}

	/**
	 * Closes the connections whose idle time is over.
	 */
	public void evictIdle() {
		long now = this.ticker.nanos();
		this.idle.values().removeIf((connections) -> {
			connections.removeIf((next) -> {
				boolean expired = !next.connection().reusable() || next.expiryNanos() - now <= 0;
				if (expired) {
					next.connection().close();
				}
				return expired;
			});
			return connections.isEmpty();
		});
	}

	/**
	 * Closes the idle connections to a server that has started again. A server that lost
	 * power closes none, and a request sent on one of them would fail only after a time
	 * in which it may have run.
	 * @param address the server's address
	 */
	public void evict(Address address) {
		Optional.ofNullable(this.idle.remove(address))
			.ifPresent((connections) -> connections.forEach((next) -> next.connection().close()));
	}

	/**
	 * Returns the event loop of the connections.
	 * @return the event loop
	 */
	public EventLoop loop() {
		return this.loop;
	}

	@Override
	public void close() {
		this.loop.execute(() -> {
			this.idle.values().forEach((all) -> all.forEach((next) -> next.connection().close()));
			this.idle.clear();
		});
	}

	private record IdleConnection(ClientConnection connection, long expiryNanos) {
	}

}
