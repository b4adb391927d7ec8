package org.ragworthook.gateway.peer;

import java.net.DatagramSocket;
import java.net.SocketException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.ragworthook.core.fleet.Address;

import static com.google.common.truth.Truth.assertThat;

/**
 * What tests need that speak over sockets of this machine.
 */
public final class Loopback {

	private static final long LIMIT_SECONDS = 30;

	private Loopback() {
	}

	/**
	 * Returns an address for datagrams that nobody has at the moment.
	 * @return the address
	 */
	public static Address unusedAddress() {
		try (DatagramSocket socket = new DatagramSocket()) {
			return new Address("127.0.0.1", socket.getLocalPort());
		}
		catch (SocketException ex) {
			throw new AssertionError("no free port", ex);
		}
	}

	/**
	 * Waits until something holds; fails if it does not for half a minute.
	 * @param condition what is to hold
	 * @throws InterruptedException if the test is stopped
	 */
	public static void await(BooleanSupplier condition) throws InterruptedException {
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_SECONDS);
		while (!condition.getAsBoolean()) {
			assertThat(System.nanoTime() - end).isLessThan(0L);
			new CountDownLatch(1).await(5, TimeUnit.MILLISECONDS);
		}
	}

}
