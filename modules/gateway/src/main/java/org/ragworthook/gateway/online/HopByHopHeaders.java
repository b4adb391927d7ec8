package org.ragworthook.gateway.online;

import java.util.Arrays;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.vertx.core.MultiMap;

/**
 * The hop-by-hop headers, which concern a single connection and are not forwarded.
 */
final class HopByHopHeaders {

	private static final Set<String> NAMES = Set.of("connection", "keep-alive", "proxy-authenticate",
			"proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "expect");

	private HopByHopHeaders() {
	}

	/**
	 * Returns whether a header is hop-by-hop.
	 * @param name the header's name
	 * @return whether it must not be forwarded
	 */
	static boolean isHopByHop(String name) {
		return NAMES.contains(name.toLowerCase(Locale.ROOT));
	}

	/**
	 * Copies the end-to-end headers, which are forwarded.
	 * @param received the headers of a request
	 * @return the headers that are neither hop-by-hop nor named by {@code Connection},
	 * without {@code Content-Length}
	 */
	static HttpHeaders endToEnd(MultiMap received) {
		DefaultHttpHeaders forwarded = new DefaultHttpHeaders(false);
		String connection = received.get("connection");
		Set<String> perConnection = (connection != null)
				? new HashSet<>(Arrays.asList(connection.toLowerCase(Locale.ROOT).replace(" ", "").split(",")))
				: Set.of();
		received.forEach((name, value) -> {
			String lower = name.toLowerCase(Locale.ROOT);
			if (!NAMES.contains(lower) && !perConnection.contains(lower) && !"content-length".equals(lower)) {
				forwarded.add(name, value);
			}
		});
		return forwarded;
	}

}
