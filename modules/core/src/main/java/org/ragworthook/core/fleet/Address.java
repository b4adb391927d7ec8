package org.ragworthook.core.fleet;

import java.util.Objects;

/**
 * The address that a process listens on.
 *
 * @param host an IP address, without brackets
 * @param port the port, 0 to 65535; 0 requests any free port
 */
public record Address(String host, int port) {

	/**
	 * Validates the components.
	 * @throws IllegalArgumentException if the port is out of range
	 */
	public Address {
		Objects.requireNonNull(host, "host is null");
		if (port < 0 || port > 65_535) {
			throw new IllegalArgumentException("port " + port + " is not from 0 to 65535");
		}
	}

	/**
	 * Parses an address.
	 * @param text host and port, such as {@code 127.0.0.1:7080} or {@code [::1]:7080}
	 * @return the address
	 * @throws IllegalArgumentException if the text is not a host and a port from 0 to
	 * 65535
	 */
	public static Address parse(String text) {
		int colon = Objects.requireNonNull(text, "text is null").lastIndexOf(':');
		if (colon < 1) {
			throw new IllegalArgumentException("'" + text + "' is not host:port");
		}
		String hostText = text.substring(0, colon);
		if (hostText.startsWith("[") && hostText.endsWith("]")) {
			hostText = hostText.substring(1, hostText.length() - 1);
		}
		try {
			return new Address(hostText, Integer.parseInt(text.substring(colon + 1)));
		}
		catch (NumberFormatException ex) {
			throw new IllegalArgumentException("'" + text + "' has no number for a port", ex);
		}
	}

	@Override
	public String toString() {
		return ((this.host.indexOf(':') >= 0) ? "[" + this.host + "]" : this.host) + ":" + this.port;
	}

}
