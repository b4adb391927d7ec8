package org.ragworthook.daemon.link;

import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.ragworthook.core.close.Closer;
import org.ragworthook.core.error.ConfigException;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.standin.keys.TestAuthority;
import org.ragworthook.wire.link.Link;
import org.ragworthook.wire.link.LinkClient;
import org.ragworthook.wire.link.LinkListener;
import org.ragworthook.wire.link.LinkOptions;
import org.ragworthook.wire.link.LinkServer;
import org.ragworthook.wire.message.Frame;
import org.ragworthook.wire.message.Hello;
import org.ragworthook.wire.message.Lane;
import org.ragworthook.wire.message.Welcome;
import org.ragworthook.wire.tls.TlsIdentity;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for links whose two sides show certificates.
 */
class SecuredLinkTests {

	private static final long SECONDS = 20;

	private final Closer closer = Closer.empty();

	private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final BlockingQueue<Link> accepted = new LinkedBlockingQueue<>();

	private final BlockingQueue<Link> connected = new LinkedBlockingQueue<>();

	@TempDir
	private Path folder;

	@AfterEach
	void close() {
		this.closer.close();
		this.loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	@Test
	void shouldOpenBetweenProcessesOfOneAuthority() throws InterruptedException {
		TestAuthority authority = TestAuthority.of("fleet");
		LinkServer server = listen(identity("server", authority, authority, "127.0.0.1", Instant.now()));
		connect(server.address(), identity("client", authority, authority, "127.0.0.1", Instant.now()));
		assertThat(this.connected.poll(SECONDS, TimeUnit.SECONDS)).isNotNull();
	}

	/**
	 * Somebody who is not of the fleet, or whose certificate has run out, connects to a
	 * sidecar. Were the link opened, a stranger could send orders to an engine. The good
	 * client that comes after shows that the server was there all along.
	 */
	@ParameterizedTest
	@EnumSource(Stranger.class)
	void shouldRefuseAStranger(Stranger stranger) throws InterruptedException {
		TestAuthority authority = TestAuthority.of("fleet");
		LinkServer server = listen(identity("server", authority, authority, "127.0.0.1", Instant.now()));
		connect(server.address(), stranger.identity(this, authority));
		connect(server.address(), identity("good", authority, authority, "127.0.0.1", Instant.now()));
		Link first = this.accepted.poll(SECONDS, TimeUnit.SECONDS);
		assertThat(first).isNotNull();
		assertThat(first.remote().instance()).isEqualTo("good");
	}

	/**
	 * A process takes over the address of a sidecar with a certificate of the same
	 * authority made for another address. Were it believed, requests meant for one
	 * upstream would reach another process.
	 */
	@Test
	void shouldNotConnectToAnotherAddressThanTheCertificateBears() throws InterruptedException {
		TestAuthority authority = TestAuthority.of("fleet");
		LinkServer other = listen(identity("other", authority, authority, "127.0.0.9", Instant.now()));
		LinkServer right = listen(identity("right", authority, authority, "127.0.0.1", Instant.now()));
		TlsIdentity client = identity("client", authority, authority, "127.0.0.1", Instant.now());
		connect(other.address(), client);
		connect(right.address(), client);
		Link first = this.connected.poll(SECONDS, TimeUnit.SECONDS);
		assertThat(first).isNotNull();
		assertThat(this.accepted.poll(SECONDS, TimeUnit.SECONDS)).isNotNull();
		assertThat(this.connected).isEmpty();
	}

	@Test
	void shouldUseReplacedFilesForNewLinks() throws InterruptedException {
		TestAuthority old = TestAuthority.of("old");
		TestAuthority fresh = TestAuthority.of("fresh");
		TlsIdentity server = identity("server", old, old, "127.0.0.1", Instant.now());
		LinkServer listening = listen(server);
		identity("server", fresh, fresh, "127.0.0.1", Instant.now());
		assertThat(server.refresh()).isTrue();
		connect(listening.address(), identity("client", fresh, fresh, "127.0.0.1", Instant.now()));
		assertThat(this.connected.poll(SECONDS, TimeUnit.SECONDS)).isNotNull();
		assertThat(server.refresh()).isFalse();
	}

	@Test
	void shouldNameAFileThatIsNoCertificate() {
		TestAuthority authority = TestAuthority.of("fleet");
		identity("p", authority, authority, "127.0.0.1", Instant.now());
		try {
			TlsIdentity.load(this.folder.resolve("p.key"), this.folder.resolve("p.pem"),
					this.folder.resolve("p.authority"));
			throw new AssertionError("a key was taken for a certificate");
		}
		catch (ConfigException ex) {
			assertThat(ex.code()).isEqualTo(ErrorCode.SETTINGS_UNREADABLE);
			assertThat(ex.getMessage()).contains("p.key");
		}
	}

	private TlsIdentity identity(String name, TestAuthority signer, TestAuthority trusted, String address,
			Instant from) {
		Path certificate = this.folder.resolve(name + ".pem");
		Path key = this.folder.resolve(name + ".key");
		Path authority = this.folder.resolve(name + ".authority");
		signer.issue(name, address, from.minus(Duration.ofHours(1)), Duration.ofHours(2), certificate, key);
		trusted.write(authority);
		return TlsIdentity.load(certificate, key, authority);
	}

	private LinkServer listen(TlsIdentity identity) {
		return this.closer.add(LinkServer.listen(this.loops, new Address("127.0.0.1", 0),
				LinkOptions.of().tls(identity), Welcome::getDefaultInstance, new Collecting(this.accepted)));
	}

	private void connect(Address address, TlsIdentity identity) {
		String name = identity.toString();
		this.closer.add(LinkClient.connect(this.loops, address, LinkOptions.of().tls(identity),
				() -> Hello.newBuilder().setLane(Lane.LANE_CONTROL).setInstance(name).build(),
				new Collecting(this.connected)));
	}

	private enum Stranger {

		OTHER_AUTHORITY {
			@Override
			TlsIdentity identity(SecuredLinkTests test, TestAuthority fleet) {
				return test.identity("stranger", TestAuthority.of("other"), fleet, "127.0.0.1", Instant.now());
			}
		},

		EXPIRED {
			@Override
			TlsIdentity identity(SecuredLinkTests test, TestAuthority fleet) {
				Instant longAgo = Instant.now().minus(Duration.ofDays(2));
				return test.identity("expired", fleet, fleet, "127.0.0.1", longAgo);
			}
		};

		abstract TlsIdentity identity(SecuredLinkTests test, TestAuthority fleet);

	}

	private record Collecting(BlockingQueue<Link> opened) implements LinkListener {

		@Override
		public void opened(Link link) {
			this.opened.add(link);
		}

		@Override
		public void received(Link link, Frame frame) {
			throw new AssertionError("no frame was sent");
		}

		@Override
		public void closed(Link link) {
			// The test ends.
		}

	}

}
