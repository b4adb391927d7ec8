package org.ragworthook.gateway.peer;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnknownFieldSet;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.ragworthook.core.close.Closer;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.gateway.suspect.PoisonRequestDetector;
import org.ragworthook.gateway.upstream.SoftwareVersion;
import org.ragworthook.gateway.upstream.TrackedUpstream;
import org.ragworthook.gateway.upstream.UpstreamDescriptor;
import org.ragworthook.gateway.upstream.UpstreamRegistry;
import org.ragworthook.gateway.upstream.WorkClass;
import org.ragworthook.wire.load.AccountLoad;
import org.ragworthook.wire.load.LoadReport;
import org.ragworthook.wire.load.UpstreamLoad;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests datagrams that are no report, or a report that no process sends.
 */
class MalformedReportTests {

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = (EventLoop) this.group.next();

	private final Closer closer = Closer.empty();

	private final Address first = Loopback.unusedAddress();

	private final UpstreamRegistry mine = registry();

	private final UpstreamRegistry theirs = registry();

	@AfterEach
	void stop() {
		this.closer.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	private static UpstreamRegistry registry() {
		UpstreamRegistry registry = UpstreamRegistry.empty();
		registry.put(new UpstreamDescriptor("u-1", "svc", new Address("10.0.0.1", 80), "a", 8, false,
				SoftwareVersion.of("v1")));
		return registry;
	}

	private static TrackedUpstream upstream(UpstreamRegistry registry) {
		return registry.serving("svc").get(0);
	}

	private LoadExchange exchange(String name, Address address, UpstreamRegistry registry) {
		return this.closer.add(LoadExchange.start(this.loop, Ticker.system(), registry,
				PoisonRequestDetector.empty(Ticker.system()), new PeerIdentity(name, 1, address, true)));
	}

	private static LoadReport.Builder report() {
		return LoadReport.newBuilder()
			.setInstance("odd")
			.setStartedMillis(1)
			.setSequence(1)
			.setHost("127.0.0.1")
			.setPort(9)
			.setRunsJobs(true);
	}

	private static LoadReport.Builder load(int online, int batch) {
		return report().addLoads(
				UpstreamLoad.newBuilder().setUpstream(upstream(registry()).key()).setOnline(online).setBatch(batch));
	}

	private static byte[] nested(int levels) {
		UnknownFieldSet field = UnknownFieldSet.getDefaultInstance();
		for (int i = 0; i < levels; i++) {
			field = UnknownFieldSet.newBuilder()
				.addField(99, UnknownFieldSet.Field.newBuilder().addGroup(field).build())
				.build();
		}
		return field.toByteArray();
	}

	static Stream<Arguments> datagrams() {
		byte[] random = new byte[2_000];
		new Random(7).nextBytes(random);
		byte[] sound = load(1, 1).build().toByteArray();
		return Stream.of(Arguments.of("no bytes", new byte[0]), Arguments.of("random bytes", random),
				Arguments.of("a part of a report", Arrays.copyOf(sound, sound.length - 3)),
				Arguments.of("nested groups", nested(500)),
				Arguments.of("a list longer than the datagram", ByteString.fromHex("42ffffffff07").toByteArray()),
				Arguments.of("a host name", report().setHost("peer.invalid").build().toByteArray()),
				Arguments.of("no host", report().setHost("").build().toByteArray()),
				Arguments.of("port 0", report().setPort(0).build().toByteArray()),
				Arguments.of("a port out of range", report().setPort(70_000).build().toByteArray()),
				Arguments.of("a negative port", report().setPort(-1).build().toByteArray()),
				Arguments.of("a long name", report().setInstance("n".repeat(65_000)).build().toByteArray()),
				Arguments.of("a negative load", load(-7, 0).build().toByteArray()),
				Arguments.of("a load beyond an int", load(0, Integer.MAX_VALUE).build().toByteArray()),
				Arguments.of("a negative load of an account",
						report().addAccountLoads(AccountLoad.newBuilder().setOnline(-1)).build().toByteArray()));
	}

	/**
	 * Guards against one datagram that ends the exchange of reports between the other
	 * processes, or changes what they count.
	 * @param name what the datagram contains
	 * @param datagram the datagram
	 */
	@ParameterizedTest(name = "{0}")
	@MethodSource("datagrams")
	void shouldExchangeReportsAfterADatagramThatIsNone(String name, byte[] datagram) throws Exception {
		Address second = Loopback.unusedAddress();
		LoadExchange a = exchange("a", this.first, this.mine);
		LoadExchange b = exchange("b", second, this.theirs);
		b.addPeer(this.first);
		Loopback.await(() -> a.fleet().ownerCandidates().size() == 2);
		upstream(this.theirs).begin(WorkClass.ONLINE);
		Loopback.await(() -> upstream(this.mine).load() == 1);
		for (int i = 0; i < 30; i++) {
			send(datagram);
			this.loop.schedule(() -> assertThat(upstream(this.mine).load()).isEqualTo(1), 10, TimeUnit.MILLISECONDS)
				.get();
		}
		upstream(this.mine).begin(WorkClass.BATCH);
		Loopback.await(() -> upstream(this.theirs).load() == 2);
		assertThat(a.fleet().ownerCandidates()).containsExactly("a", "b");
	}

	/**
	 * Guards against memory and reports without bound for senders that state a new
	 * address in each report.
	 */
	@Test
	void shouldBoundThePeersThatOnlyReportsName() throws Exception {
		LoadExchange a = exchange("a", this.first, this.mine);
		for (int port = 1; port <= 3_000; port++) {
			send(report().setPort(port).setRunsJobs(false).build().toByteArray());
			if (port % 50 == 0) {
				this.loop.submit(() -> {
				}).get();
			}
		}
		this.loop.submit(() -> assertThat(a.fleet().peerCounts().known()).isAtMost(1_000)).get();
	}

	private void send(byte[] datagram) throws IOException {
		try (DatagramSocket socket = new DatagramSocket()) {
			socket.send(new DatagramPacket(datagram, datagram.length,
					new InetSocketAddress(this.first.host(), this.first.port())));
		}
	}

}
