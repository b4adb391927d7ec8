package org.ragworthook.gateway.peer;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
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
import org.ragworthook.wire.load.JobListing;
import org.ragworthook.wire.load.LoadReport;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests that reports arrive whole.
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
		this.closer.add(ReportChannel.open(this.loop, to, received::add));
		ReportChannel sender = this.closer.add(ReportChannel.open(this.loop, Loopback.unusedAddress(), (report) -> {
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

}
