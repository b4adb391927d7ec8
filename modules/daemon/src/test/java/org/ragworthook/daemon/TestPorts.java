package org.ragworthook.daemon;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ports for servers of tests. They are taken in turn from below the ephemeral range: an
 * ephemeral port that was found free may be assigned to an outgoing connection of any
 * process before the server listens there.
 */
public final class TestPorts {

	private static final int FIRST_BLOCK = 12_000;

	private static final int PORTS_END = 20_000;

	private static final int BLOCK_PORTS = 500;

	/** Bound to the first port of this process's block for as long as it runs. */
	private static final ServerSocket BLOCK_OWNER = claimBlock();

	private static final AtomicInteger PORTS = new AtomicInteger(BLOCK_OWNER.getLocalPort() + 1);

	private TestPorts() {
	}

	private static ServerSocket claimBlock() {
		for (int first = FIRST_BLOCK; first < PORTS_END; first += BLOCK_PORTS) {
			try {
				return new ServerSocket(first);
			}
			catch (IOException ex) {
				// Another test process owns this block.
			}
		}
		throw new IllegalStateException("all ports for tests are in use");
	}

	/**
	 * Returns a port that is not in use.
	 * @return the port
	 */
	public static int next() {
		int first = BLOCK_OWNER.getLocalPort() + 1;
		int end = BLOCK_OWNER.getLocalPort() + BLOCK_PORTS;
		while (true) {
			int port = PORTS.getAndUpdate((last) -> (last + 1 < end) ? last + 1 : first);
			try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
				return probe.getLocalPort();
			}
			catch (IOException ex) {
				// Still in use by an earlier test; the next port is tried.
			}
		}
	}

}
