package org.ragworthook.objectapi;

import java.time.Duration;
import java.util.Objects;

import org.ragworthook.core.fleet.Address;

/**
 * How to reach a service of the platform.
 *
 * @param address where it listens
 * @param namespace the namespace that holds the system's objects
 * @param connectTimeout how long to wait for a connection
 * @param callTimeout how long to wait for the whole answer to a call
 * @param watchTimeout after which time a watch is ended and armed anew, so that a
 * half-open connection cannot hide changes for longer
 * @param connections how many calls may be under way at once; further ones wait
 */
public record PlatformSettings(Address address, String namespace, Duration connectTimeout, Duration callTimeout,
		Duration watchTimeout, int connections) {

	/**
	 * Checks that all parts are there.
	 */
	public PlatformSettings {
		Objects.requireNonNull(address, "address is null");
		Objects.requireNonNull(namespace, "namespace is null");
		Objects.requireNonNull(connectTimeout, "connectTimeout is null");
		Objects.requireNonNull(callTimeout, "callTimeout is null");
		Objects.requireNonNull(watchTimeout, "watchTimeout is null");
	}

	/**
	 * Returns settings with the default timeouts: a second to connect, two for a call,
	 * five minutes for a watch, 16 calls at once.
	 * @param address where the platform listens
	 * @return the settings
	 */
	public static PlatformSettings of(Address address) {
		return new PlatformSettings(address, "ragworthook", Duration.ofSeconds(1), Duration.ofSeconds(2),
				Duration.ofMinutes(5), 16);
	}

	/**
	 * Returns these settings with other timeouts.
	 * @param connect how long to wait for a connection
	 * @param call how long to wait for the whole answer to a call
	 * @return the new settings
	 */
	public PlatformSettings timeouts(Duration connect, Duration call) {
		return new PlatformSettings(this.address, this.namespace, connect, call, this.watchTimeout, this.connections);
	}

	/**
	 * Returns these settings with another namespace.
	 * @param name the namespace that holds the system's objects
	 * @return the new settings
	 */
	public PlatformSettings inNamespace(String name) {
		return new PlatformSettings(this.address, name, this.connectTimeout, this.callTimeout, this.watchTimeout,
				this.connections);
	}

}
