package org.ragworthook.gateway.peer;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.core.close.Closer;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.time.ManualTime;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.wire.load.JobListing;
import org.ragworthook.wire.load.LoadReport;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests that reports arrive whole and in time.
 */
class ReportChannelTests {

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = (EventLoop) this.group.next();

	private final Closer closer = Closer.empty();

	@AfterEach
	void stop() {
		this.closer.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	private static LoadReport report(String instance, int listings) {
		LoadReport.Builder report = LoadReport.newBuilder().setInstance(instance);
		for (int i = 0; i < listings; i++) {
			report
				.addListings(JobListing.newBuilder().setJob(String.format("job-%012d", i)).setItems(7).setSegments(2));
		}
		return report.build();
	}

	private List<LoadReport> sendAndReceive(List<LoadReport> reports) throws InterruptedException {
		Address to = Loopback.unusedAddress();
		List<LoadReport> received = new CopyOnWriteArrayList<>();
		this.closer
			.add(ReportChannel.open(this.loop, to, Ticker.system(), (report, arrivedNanos) -> received.add(report)));
		ReportChannel sender = this.closer
			.add(ReportChannel.open(this.loop, Loopback.unusedAddress(), Ticker.system(), (report, arrivedNanos) -> {
			}));
		LoadReport last = report("last", 0);
		InetSocketAddress address = new InetSocketAddress(to.host(), to.port());
		reports.forEach((report) -> sender.write(report.toByteArray(), address));
		sender.write(last.toByteArray(), address);
		sender.flush();
		Loopback.await(() -> received.contains(last));
		received.remove(last);
		return received;
	}

	/**
	 * Guards against a report that the receiver's buffer cuts off and that is lost.
	 * @param listings the number of jobs in the report
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 60, 80, 120, 400, 2_000 })
	void shouldReceiveReportsOfAnySize(int listings) throws InterruptedException {
		List<LoadReport> sent = List.of(report("batch-1", listings));
		assertThat(sendAndReceive(sent)).isEqualTo(sent);
	}

	/**
	 * Guards against a report that is cut off between two fields: it decodes, and the
	 * jobs after the cut seem to have no results.
	 */
	@Test
	void shouldNotTakeThePartOfAReportForTheWhole() throws InterruptedException {
		List<LoadReport> sent = IntStream.rangeClosed(1, 30)
			.mapToObj((length) -> report("b".repeat(length), 100))
			.toList();
		assertThat(sendAndReceive(sent)).isEqualTo(sent);
	}

	/**
	 * Guards against reports that wait in the socket for seconds, since each iteration of
	 * a slow event loop reads only one, and that look as if they had just been sent.
	 * @param count the reports that arrive during one iteration
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 10, 60, 200 })
	void shouldReadWaitingReportsInFewIterationsAndKnowTheirAge(int count) throws Exception {
		ManualTime time = ManualTime.of();
		Address to = Loopback.unusedAddress();
		List<Long> arrivals = new CopyOnWriteArrayList<>();
		ReportChannel receiver = this.closer
			.add(ReportChannel.open(this.loop, to, time, (report, arrivedNanos) -> arrivals.add(arrivedNanos)));
		CountDownLatch sent = new CountDownLatch(1);
		this.loop.submit(receiver::polled).get();
		time.advance(Duration.ofSeconds(5));
		this.loop.submit(receiver::polled).get();
		AtomicInteger iterations = new AtomicInteger();
		this.loop.submit(() -> {
			countIterations(iterations, () -> arrivals.size() < count);
			return sent.await(30, TimeUnit.SECONDS);
		});
		try (DatagramSocket sender = new DatagramSocket()) {
			byte[] bytes = report("peer", 0).toByteArray();
			for (int i = 0; i < count; i++) {
				sender.send(new DatagramPacket(bytes, bytes.length, new InetSocketAddress(to.host(), to.port())));
			}
		}
		time.advance(Duration.ofSeconds(3));
		sent.countDown();
		Loopback.await(() -> arrivals.size() == count);
		assertThat(iterations.get()).isAtMost(count / ReportChannel.MAX_DATAGRAMS_PER_READ + 3);
		assertThat(Collections.max(arrivals)).isAtMost(Duration.ofSeconds(5).toNanos());
	}

	/**
	 * A task that is scheduled anew by itself runs once in each iteration of the loop.
	 */
	private void countIterations(AtomicInteger iterations, BooleanSupplier goesOn) {
		if (goesOn.getAsBoolean()) {
			iterations.incrementAndGet();
			this.loop.schedule(() -> countIterations(iterations, goesOn), 0, TimeUnit.NANOSECONDS);
		}
	}

}
