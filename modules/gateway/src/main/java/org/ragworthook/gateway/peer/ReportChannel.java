package org.ragworthook.gateway.peer;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.function.Consumer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.log.EventLog;
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

	private final Consumer<LoadReport> receiver;

	private volatile Channel channel;

	private ReportChannel(Consumer<LoadReport> receiver) {
		this.receiver = Objects.requireNonNull(receiver, "receiver is null");
	}

	/**
	 * Binds the socket and begins to receive reports.
	 * @param loop the event loop
	 * @param address the address to bind
	 * @param receiver called with each report, on the event loop
	 * @return the channel
	 */
	static ReportChannel open(EventLoop loop, Address address, Consumer<LoadReport> receiver) {
		ReportChannel reports = new ReportChannel(receiver);
		reports.channel = new Bootstrap().group(loop)
			.channel(NioDatagramChannel.class)
			.option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(RECEIVE_BUFFER_BYTES))
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

	@Override
	public void close() {
		this.channel.close();
	}

	private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
			try {
				ReportChannel.this.receiver.accept(LoadReport.parseFrom(ByteBufUtil.getBytes(packet.content())));
			}
			catch (InvalidProtocolBufferException ex) {
				LOG.warning("report_malformed", "from", packet.sender(), "error", ex.getMessage());
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			LOG.debug("report_not_delivered", "error", cause);
		}

	}

}
