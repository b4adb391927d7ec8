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
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.wire.load.LoadReport;

/**
 * Sends and takes reports as datagrams.
 */
final class ReportChannel implements AutoCloseable {

	private static final EventLog LOG = EventLog.of(ReportChannel.class);

	private final Consumer<LoadReport> taken;

	private volatile Channel channel;

	private ReportChannel(Consumer<LoadReport> taken) {
		this.taken = Objects.requireNonNull(taken, "taken is null");
	}

	/**
	 * Begins to take reports.
	 * @param loop the thread
	 * @param address where
	 * @param taken is given each report, on the event loop
	 * @return the channel
	 */
	static ReportChannel open(EventLoop loop, Address address, Consumer<LoadReport> taken) {
		ReportChannel reports = new ReportChannel(taken);
		reports.channel = new Bootstrap().group(loop)
			.channel(NioDatagramChannel.class)
			.handler(reports.new Receiver())
			.bind(new InetSocketAddress(address.host(), address.port()))
			.syncUninterruptibly()
			.channel();
		return reports;
	}

	/**
	 * Writes a report, to be sent by {@link #flush()}.
	 * @param report the report's bytes, not changed afterwards
	 * @param to where the peer takes reports
	 */
	void write(byte[] report, InetSocketAddress to) {
		this.channel.write(new DatagramPacket(Unpooled.wrappedBuffer(report), to), this.channel.voidPromise());
	}

	/**
	 * Sends what was written.
	 */
	void flush() {
		this.channel.flush();
	}

	@Override
	public void close() {
		this.channel.close();
	}

	private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
			try {
				ReportChannel.this.taken.accept(LoadReport.parseFrom(ByteBufUtil.getBytes(packet.content())));
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
