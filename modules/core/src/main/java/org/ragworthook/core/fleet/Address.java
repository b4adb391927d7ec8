package org.ragworthook.core.fleet;

import java.util.Objects;

/**
 * Where a process listens.
 *
 * @param host an IP number, without brackets
 * @param port a port from 0 to 65535; 0 asks for any free one
 */
public record Address(String host, int port) {

	/**
	 * Checks the port.
	 * @throws IllegalArgumentException if the port is out of range
	 */
	public Address {
		Objects.requireNonNull(host, "host is null");
		if (port < 0 || port > 65_535) {
			throw new IllegalArgumentException("port " + port + " is not from 0 to 65535");
		}
	}

	/**
	 * Reads an address.
	 * @param text host and port, such as {@code 127.0.0.1:7080} or {@code [::1]:7080}
	 * @return the address
	 * @throws IllegalArgumentException if the text is not a host and a port
	 */
	public static Address parse(String text) {
		int colon = Objects.requireNonNull(text, "text is null").lastIndexOf(':');
		if (colon < 1) {
			throw new IllegalArgumentException("'" + text + "' is not host:port");
		}
		String number = text.substring(0, colon);
		if (number.startsWith("[") && number.endsWith("]")) {
			number = number.substring(1, number.length() - 1);
		}
		try {
			return new Address(number, Integer.parseInt(text.substring(colon + 1)));
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
