package org.ragworthook.gateway.peer;

import java.net.DatagramSocket;
import java.net.SocketException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.ragworthook.core.fleet.Address;

import static com.google.common.truth.Truth.assertThat;

/**
 * Utilities for tests that use sockets on the loopback interface.
 */
public final class Loopback {

	private static final long TIMEOUT_SECONDS = 30;

	private Loopback() {
	}

	/**
	 * Returns a loopback address with a UDP port that is not in use.
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
	 * Waits until a condition holds and fails if it does not within 30 seconds.
	 * @param condition the condition
	 * @throws InterruptedException if the thread is interrupted
	 */
	public static void await(BooleanSupplier condition) throws InterruptedException {
		long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
		while (!condition.getAsBoolean()) {
			assertThat(System.nanoTime() - deadline).isLessThan(0L);
			new CountDownLatch(1).await(5, TimeUnit.MILLISECONDS);
		}
	}

}
