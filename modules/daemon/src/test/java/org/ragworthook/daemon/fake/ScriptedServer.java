package org.ragworthook.daemon.fake;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/**
 * A fake HTTP server on plain sockets whose replies are dictated byte by byte.
 */
public final class ScriptedServer implements AutoCloseable {

	/** Far above all limits of a client together with the buffers of a connection. */
	public static final long ENDLESS_BYTES = 256L * 1024 * 1024;

	private static final int WRITE_BYTES = 65_536;

	private static final int BACKLOG = 64;

	private static final long BEFORE_RESET_NANOS = 1_000_000;

	private final ServerSocket server;

	private final Script script;

	private final Set<Socket> open = ConcurrentHashMap.newKeySet();

	private ScriptedServer(ServerSocket server, Script script) {
		this.server = server;
		this.script = script;
	}

	/**
	 * Starts a server on a free port.
	 * @param script replies to requests; called on the thread of the connection
	 * @return the server
	 */
	public static ScriptedServer start(Script script) {
		try {
			ScriptedServer scripted = new ScriptedServer(
					new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1")), script);
			daemon(scripted::accept);
			return scripted;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Returns the port of the server.
	 * @return the port
	 */
	public int port() {
		return this.server.getLocalPort();
	}

	/**
	 * Returns the base URL of the server.
	 * @return the URL
	 */
	public String url() {
		return "http://127.0.0.1:" + port();
	}

	/**
	 * Returns how many connections neither side has closed.
	 * @return the count
	 */
	public int openConnections() {
		return this.open.size();
	}

	private static void daemon(Runnable task) {
		Thread thread = new Thread(task, "scripted-server");
		thread.setDaemon(true);
		thread.start();
	}

	private void accept() {
		while (!this.server.isClosed()) {
			try {
				Socket socket = this.server.accept();
				this.open.add(socket);
				daemon(() -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			socket.setTcpNoDelay(true);
			InputStream in = new BufferedInputStream(socket.getInputStream());
			Optional<Request> next = Request.read(in, Optional.empty(), socket);
			while (next.isPresent() && this.script.replied(next.get())) {
				next = Request.read(in, next, socket);
			}
		}
		catch (IOException ex) {
			// the client has closed the connection
		}
		finally {
			this.open.remove(socket);
		}
	}

	@Override
	public void close() throws IOException {
		this.server.close();
		for (Socket socket : this.open) {
			socket.close();
		}
	}

	/**
	 * A request.
	 *
	 * @param line the request line
	 * @param body the body
	 * @param before the request before it on the same connection
	 * @param socket the connection
	 */
	public record Request(String line, String body, Optional<Request> before, Socket socket) {

		private static Optional<Request> read(InputStream in, Optional<Request> before, Socket socket)
				throws IOException {
			StringBuilder head = new StringBuilder();
			while (head.indexOf("\r\n\r\n") < 0) {
				int next = in.read();
				if (next < 0) {
					return Optional.empty();
				}
				head.append((char) next);
			}
			int length = head.toString()
				.lines()
				.map((line) -> line.toLowerCase(Locale.ROOT))
				.filter((line) -> line.startsWith("content-length:"))
				.mapToInt((line) -> Integer.parseInt(line.substring(line.indexOf(':') + 1).trim()))
				.sum();
			return Optional.of(new Request(head.substring(0, head.indexOf("\r\n")),
					new String(in.readNBytes(length), StandardCharsets.UTF_8), before, socket));
		}

		/**
		 * Sends bytes.
		 * @param text the bytes
		 * @throws IOException if the client has closed the connection
		 */
		public void send(String text) throws IOException {
			this.socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
		}

		/**
		 * Sends bytes again and again, {@link #ENDLESS_BYTES} at most.
		 * @param repeated the bytes
		 * @param sent counts what was sent
		 * @throws IOException if the client has closed the connection
		 */
		public void sendWithoutEnd(String repeated, AtomicLong sent) throws IOException {
			sendRepeatedly(repeated, ENDLESS_BYTES, sent);
		}

		/**
		 * Sends bytes again and again.
		 * @param repeated the bytes
		 * @param limit how many bytes to send at most
		 * @param sent counts what was sent
		 * @throws IOException if the client has closed the connection
		 */
		public void sendRepeatedly(String repeated, long limit, AtomicLong sent) throws IOException {
			String bytes = repeated.repeat(WRITE_BYTES / repeated.length());
			while (sent.get() < limit) {
				String part = bytes.substring(0, (int) Math.min(bytes.length(), limit - sent.get()));
				send(part);
				sent.addAndGet(part.length());
			}
		}

		/**
		 * Makes the end of the connection a reset, once what was sent has probably been
		 * read.
		 * @throws IOException if the client has closed the connection
		 */
		public void endWithReset() throws IOException {
			LockSupport.parkNanos(BEFORE_RESET_NANOS);
			this.socket.setSoLinger(true, 0);
		}

	}

	/**
	 * Replies to requests.
	 */
	@FunctionalInterface
	public interface Script {

		/**
		 * Replies to a request.
		 * @param request the request
		 * @return whether the connection is kept
		 * @throws IOException if the client has closed the connection
		 */
		boolean replied(Request request) throws IOException;

	}

}
