package org.ragworthook.standin.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.wire.link.Link;
import org.ragworthook.wire.link.LinkClient;
import org.ragworthook.wire.link.LinkListener;
import org.ragworthook.wire.link.LinkOptions;
import org.ragworthook.wire.link.LinkServer;
import org.ragworthook.wire.message.Frame;
import org.ragworthook.wire.message.Hello;
import org.ragworthook.wire.message.Lane;
import org.ragworthook.wire.message.Welcome;

/**
 * Idle links over the loopback with their usual heartbeat, both ends in this process.
 */
final class LinkPart implements Part {

	private static final int THREADS = 2;

	private static final int ENDS = 2;

	private static final long OPEN_SECONDS = 30;

	private static final long IDLE_MILLIS = 10_000;

	@Override
	public String name() {
		return "links";
	}

	@Override
	public String counted() {
		return "links";
	}

	@Override
	public List<Integer> sizes() {
		return List.of(13, 130, 1_300);
	}

	@Override
	public List<Quantity> measure(int size) {
		EventLoopGroup loops = new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
		List<AutoCloseable> opened = new ArrayList<>();
		try {
			double before = Gauge.usedKb();
			open(loops, size, opened);
			double heap = Gauge.usedKb() - before;
			TimeUnit.MILLISECONDS.sleep(IDLE_MILLIS);
			double start = Gauge.processCpuMillis();
			TimeUnit.MILLISECONDS.sleep(IDLE_MILLIS);
			double busy = Gauge.processCpuMillis() - start;
			return List.of(new Quantity("heap of one end of all, KB", heap / ENDS),
					new Quantity("processor time of one end of all, ms a second", busy * 1_000 / IDLE_MILLIS / ENDS));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted while links idle", ex);
		}
		finally {
			opened.forEach(LinkPart::close);
			loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
		}
	}

	private static void open(EventLoopGroup loops, int count, List<AutoCloseable> opened) {
		CountDownLatch open = new CountDownLatch(count);
		LinkServer server = LinkServer.listen(loops, new Address("127.0.0.1", 0), LinkOptions.of(),
				Welcome::getDefaultInstance, new Counting(new CountDownLatch(0)));
		opened.add(server);
		Hello hello = Hello.newBuilder()
			.setLane(Lane.LANE_CONTROL)
			.setInstance("bench")
			.setRegion("r")
			.setFailureDomain("a")
			.build();
		for (int i = 0; i < count; i++) {
			opened.add(0,
					LinkClient.connect(loops, server.address(), LinkOptions.of(), () -> hello, new Counting(open)));
		}
		try {
			if (!open.await(OPEN_SECONDS, TimeUnit.SECONDS)) {
				throw new IllegalStateException(open.getCount() + " of " + count + " links did not open");
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted while links open", ex);
		}
	}

	private static void close(AutoCloseable resource) {
		try {
			resource.close();
		}
		catch (Exception ex) {
			throw new IllegalStateException("cannot close " + resource, ex);
		}
	}

	/**
	 * Counts the links that open.
	 *
	 * @param open counts down
	 */
	private record Counting(CountDownLatch open) implements LinkListener {

		@Override
		public void opened(Link link) {
			this.open.countDown();
		}

		@Override
		public void received(Link link, Frame frame) {
		}

		@Override
		public void closed(Link link) {
		}

	}

}
