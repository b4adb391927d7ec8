package org.ragworthook.gateway.peer;

import java.net.InetSocketAddress;
import java.util.Objects;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.wire.load.LoadReport;

/**
 * Sends and receives reports as UDP datagrams.
 */
final class ReportChannel implements AutoCloseable {

	private static final EventLog LOG = EventLog.of(ReportChannel.class);

	/**
	 * Size of the buffer for a received datagram, more than a datagram can have. The rest
	 * of a datagram that exceeds its buffer is dropped without notice, and a report that
	 * is cut between two fields decodes as a whole one.
	 */
	private static final int RECEIVE_BUFFER_BYTES = 65_536;

	/**
	 * Datagrams that one iteration of the event loop reads. With a single one, which is
	 * the default of the buffer allocator, an event loop that runs slowly reads fewer
	 * reports than a fleet sends, and they wait in the socket for seconds.
	 */
	static final int MAX_DATAGRAMS_PER_READ = 64;

	private final Ticker ticker;

	private final Receiver receiver;

	private final RejectedReports rejected;

	private volatile Channel channel;

	/** All datagrams that arrived before this reading of the ticker were read. */
	private long drainedNanos;

	/** The value of {@link #drainedNanos} before the datagrams that are being handled. */
	private long arrivedNanos;

	/** The ticker's reading at the last call of {@link #polled()}. */
	private long polledNanos;

	/** Whether the last read has left datagrams in the socket, as far as is known. */
	private boolean backlogged;

	private ReportChannel(Ticker ticker, Receiver receiver) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.receiver = Objects.requireNonNull(receiver, "receiver is null");
		this.rejected = new RejectedReports(ticker);
		this.drainedNanos = ticker.nanos();
		this.arrivedNanos = this.drainedNanos;
		this.polledNanos = this.drainedNanos;
	}

	/**
	 * Binds the socket and begins to receive reports.
	 * @param loop the event loop
	 * @param address the address to bind
	 * @param ticker the monotonic clock
	 * @param receiver called with each report, on the event loop
	 * @return the channel
	 */
	static ReportChannel open(EventLoop loop, Address address, Ticker ticker, Receiver receiver) {
		ReportChannel reports = new ReportChannel(ticker, receiver);
		reports.channel = new Bootstrap().group(loop)
			.channel(NioDatagramChannel.class)
			.option(ChannelOption.RECVBUF_ALLOCATOR, reports.new ReadObserver())
			.handler(reports.new DatagramHandler())
			.bind(new InetSocketAddress(address.host(), address.port()))
			.syncUninterruptibly()
			.channel();
		return reports;
	}

	/**
	 * Queues a report, to be sent by {@link #flush()}.
	 * @param report the report's bytes, which must not be changed afterwards
	 * @param to where the peer receives reports
	 */
	void write(byte[] report, InetSocketAddress to) {
		this.channel.write(new DatagramPacket(Unpooled.wrappedBuffer(report), to), this.channel.voidPromise());
	}

	/**
	 * Sends the queued reports.
	 */
	void flush() {
		this.channel.flush();
	}

	/**
	 * Called at intervals by a task of the event loop, which polls the socket between two
	 * calls. So whatever arrived before the last call has been read by now, unless a read
	 * has left some.
	 */
	void polled() {
		if (!this.backlogged) {
			this.drainedNanos = Math.max(this.drainedNanos, this.polledNanos);
			this.arrivedNanos = this.drainedNanos;
		}
		this.polledNanos = this.ticker.nanos();
	}

	@Override
	public void close() {
		this.channel.close();
	}

	/**
	 * Receives reports.
	 */
	@FunctionalInterface
	interface Receiver {

		/**
		 * Called with each report. An exception rejects the report.
		 * @param report the report
		 * @param arrivedNanos the earliest time at which the report can have arrived; it
		 * may have waited in the socket since then
		 */
		void receive(LoadReport report, long arrivedNanos);

	}

	/**
	 * Allocates the buffers for received datagrams and notes when the socket was found
	 * empty: an attempt to read after which no bytes are counted has found none.
	 */
	private final class ReadObserver extends DefaultMaxMessagesRecvByteBufAllocator {

		ReadObserver() {
			super(MAX_DATAGRAMS_PER_READ);
		}

		@Override
		public Handle newHandle() {
			return new MaxMessageHandle() {

				private long attemptNanos;

				@Override
				public int guess() {
					return RECEIVE_BUFFER_BYTES;
				}

				@Override
				public ByteBuf allocate(ByteBufAllocator allocator) {
					this.attemptNanos = ReportChannel.this.ticker.nanos();
					ReportChannel.this.backlogged = false;
					return super.allocate(allocator);
				}

				@Override
				public void lastBytesRead(int bytes) {
					super.lastBytesRead(bytes);
					ReportChannel.this.backlogged = true;
				}

				@Override
				public void readComplete() {
					super.readComplete();
					if (!ReportChannel.this.backlogged) {
						ReportChannel.this.drainedNanos = this.attemptNanos;
					}
				}

			};
		}

	}

	private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
			try {
				ReportChannel.this.receiver.receive(LoadReport.parseFrom(ByteBufUtil.getBytes(packet.content())),
						ReportChannel.this.arrivedNanos);
			}
			catch (InvalidProtocolBufferException | RuntimeException ex) {
				ReportChannel.this.rejected.add(packet.sender(), ex.toString());
			}
		}

		@Override
		public void channelReadComplete(ChannelHandlerContext context) {
			ReportChannel.this.arrivedNanos = ReportChannel.this.drainedNanos;
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			LOG.debug("report_not_delivered", "error", cause);
		}

	}

}
