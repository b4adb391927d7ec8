package org.ragworthook.daemon.fake;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A caller that reads the bytes of one response up to the end of its connection, and
 * tells by their framing alone whether the response is whole.
 */
public final class RawCaller implements AutoCloseable {

	private static final int READ_TIMEOUT_MILLIS = (int) TimeUnit.SECONDS.toMillis(FakeUpstream.PATIENCE_SECONDS);

	private static final Pattern LENGTH = Pattern.compile("(?i)\r\ncontent-length: *(\\d+)\r\n");

	private final Socket socket;

	private final StringBuffer text = new StringBuffer();

	private final CompletableFuture<Received> received;

	private RawCaller(Socket socket) {
		this.socket = socket;
		this.received = CompletableFuture.supplyAsync(this::read);
	}

	/**
	 * Sends a request.
	 * @param port the entry's port
	 * @param key the key of the account
	 * @param version the HTTP version, such as {@code 1.0}
	 * @param method the HTTP method
	 * @param path the path
	 * @param body the body, which may be empty
	 * @param headers further header lines
	 * @return the caller, which reads the response
	 */
	public static RawCaller send(int port, String key, String version, String method, String path, String body,
			String... headers) {
		try {
			Socket socket = new Socket("127.0.0.1", port);
			socket.setSoTimeout(READ_TIMEOUT_MILLIS);
			socket.getOutputStream()
				.write((method + " " + path + " HTTP/" + version + "\r\nHost: entry\r\nConnection: close\r\n"
						+ "Authorization: Bearer " + key + "\r\nContent-Type: application/json\r\n"
						+ String.join("", Stream.of(headers).map((line) -> line + "\r\n").toList()) + "Content-Length: "
						+ body.length() + "\r\n\r\n" + body)
					.getBytes(StandardCharsets.UTF_8));
			return new RawCaller(socket);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private Received read() {
		try {
			InputStream stream = this.socket.getInputStream();
			byte[] buffer = new byte[8192];
			for (int count = stream.read(buffer); count >= 0; count = stream.read(buffer)) {
				this.text.append(new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
			}
			return new Received(this.text.toString(), false);
		}
		catch (SocketException ex) {
			return new Received(this.text.toString(), true);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("got '" + this.text + "'", ex);
		}
	}

	/**
	 * Waits until a text has come.
	 * @param wanted the text
	 */
	public void awaitText(String wanted) {
		while (this.text.indexOf(wanted) < 0) {
			if (this.received.isDone()) {
				throw new AssertionError("the connection ended before '" + wanted + "': " + this.received.join());
			}
			LockSupport.parkNanos(1_000_000);
		}
	}

	/**
	 * Waits for the end of the connection.
	 * @return what came before it
	 */
	public Received await() {
		return this.received.orTimeout(2 * FakeUpstream.PATIENCE_SECONDS, TimeUnit.SECONDS).join();
	}

	@Override
	public void close() {
		try {
			this.socket.close();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * What came on a connection.
	 *
	 * @param text head and body as they came, with the framing
	 * @param reset whether the connection was reset, else it was closed
	 */
	public record Received(String text, boolean reset) {

		/**
		 * Tells whether the response is whole by the rules of HTTP/1.
		 * @return whether its end was stated
		 */
		public boolean whole() {
			int bodyStart = this.text.indexOf("\r\n\r\n") + 4;
			if (bodyStart < 4) {
				return false;
			}
			String head = this.text.substring(0, bodyStart);
			if (head.toLowerCase(Locale.ROOT).contains("transfer-encoding: chunked")) {
				return this.text.endsWith("\r\n0\r\n\r\n");
			}
			Matcher length = LENGTH.matcher(head);
			if (length.find()) {
				return this.text.length() - bodyStart == Integer.parseInt(length.group(1));
			}
			return !this.reset;
		}

	}

}
