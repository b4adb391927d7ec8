package org.ragworthook.gateway.online;

import java.util.Arrays;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.vertx.core.MultiMap;

/**
 * Headers that concern one connection and are not passed on.
 */
final class HopHeaders {

	private static final Set<String> NAMES = Set.of("connection", "keep-alive", "proxy-authenticate",
			"proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "expect");

	private HopHeaders() {
	}

	/**
	 * Tells whether a header concerns one connection only.
	 * @param name the header's name
	 * @return whether it is not passed on
	 */
	static boolean isHopByHop(String name) {
		return NAMES.contains(name.toLowerCase(Locale.ROOT));
	}

	/**
	 * Copies the headers that are passed on.
	 * @param received the headers of a request
	 * @return those that do not concern its connection, without the length of the body
	 */
	static HttpHeaders endToEnd(MultiMap received) {
		DefaultHttpHeaders kept = new DefaultHttpHeaders(false);
		String listed = received.get("connection");
		Set<String> named = (listed != null)
				? new HashSet<>(Arrays.asList(listed.toLowerCase(Locale.ROOT).replace(" ", "").split(","))) : Set.of();
		received.forEach((name, value) -> {
			String lower = name.toLowerCase(Locale.ROOT);
			if (!NAMES.contains(lower) && !named.contains(lower) && !"content-length".equals(lower)) {
				kept.add(name, value);
			}
		});
		return kept;
	}

}
