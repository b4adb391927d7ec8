package org.ragworthook.gateway.http;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;

import org.ragworthook.core.fleet.Address;

/**
 * A server that replies to requests with bytes that do not end before the client closes
 * the connection, or a size that no sound response has is reached.
 */
public final class EndlessServer implements AutoCloseable {

	/** Far above all limits of the client together with the buffers of a connection. */
	private static final long MAX_BYTES = 64 * 1024 * 1024;

	/** Only reached on failure. */
	private static final int LIMIT_SECONDS = 60;

	private final ServerSocket server;

	private final Queue<Reply> replies = new ConcurrentLinkedQueue<>();

	private final List<Socket> open = new CopyOnWriteArrayList<>();

	private EndlessServer(ServerSocket server) {
		this.server = server;
	}

	/**
	 * Starts a server.
	 * @return the server
	 * @throws IOException if it cannot listen
	 */
	public static EndlessServer start() throws IOException {
		EndlessServer started = new EndlessServer(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()));
		daemon(started::accept);
		return started;
	}

	/**
	 * Returns where the server listens.
	 * @return the address
	 */
	public Address address() {
		return new Address("127.0.0.1", this.server.getLocalPort());
	}

	/**
	 * Replies to the next request without end.
	 * @param first the bytes before the repeated ones
	 * @param repeated returns the next bytes, by their number from 0; empty to send
	 * nothing more
	 * @return what becomes of the connection
	 */
	public Endless replyWithoutEnd(String first, IntFunction<String> repeated) {
		Endless endless = new Endless();
		this.replies.add(new Reply(first, repeated, endless));
		return endless;
	}

	/**
	 * Replies to the next request and keeps the connection.
	 * @param response the bytes of the response
	 */
	public void reply(String response) {
		this.replies.add(new Reply(response, (part) -> "", null));
	}

	private static void daemon(Runnable task) {
		Thread thread = new Thread(task, "endless-server");
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
			InputStream in = new BufferedInputStream(socket.getInputStream());
			while (readRequest(in)) {
				Reply reply = this.replies.remove();
				socket.getOutputStream().write(reply.first.getBytes(StandardCharsets.ISO_8859_1));
				if (reply.endless != null) {
					reply.endless.closed.complete(closedWhileSending(socket, in, reply));
				}
			}
		}
		catch (IOException ex) {
			// the client or the test has closed the connection
		}
	}

	private static boolean closedWhileSending(Socket socket, InputStream in, Reply reply) {
		reply.endless.begun.complete(null);
		try {
			int part = 0;
			for (long written = reply.first.length(); written < MAX_BYTES;) {
				byte[] bytes = reply.repeated.apply(part++).getBytes(StandardCharsets.ISO_8859_1);
				if (bytes.length == 0) {
					return in.read() < 0;
				}
				socket.getOutputStream().write(bytes);
				written += bytes.length;
			}
			return false;
		}
		catch (IOException ex) {
			return true;
		}
	}

	private static boolean readRequest(InputStream in) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = in.read();
			if (next < 0) {
				return false;
			}
			head.append((char) next);
		}
		in.skipNBytes(head.toString()
			.toLowerCase(Locale.ROOT)
			.lines()
			.filter((line) -> line.startsWith("content-length:"))
			.mapToLong((line) -> Long.parseLong(line.substring(line.indexOf(':') + 1).trim()))
			.sum());
		return true;
	}

	@Override
	public void close() throws IOException {
		this.server.close();
		for (Socket socket : this.open) {
			socket.close();
		}
	}

	/** What becomes of a connection on which bytes are sent without end. */
	public static final class Endless {

		private final CompletableFuture<Void> begun = new CompletableFuture<Void>().orTimeout(LIMIT_SECONDS,
				TimeUnit.SECONDS);

		private final CompletableFuture<Boolean> closed = new CompletableFuture<Boolean>().orTimeout(LIMIT_SECONDS,
				TimeUnit.SECONDS);

		/** Waits until the first bytes are sent. */
		public void awaitBegun() {
			this.begun.join();
		}

		/**
		 * Waits for the end of the connection.
		 * @return whether the client closed it; otherwise it took all bytes
		 */
		public boolean closedByClient() {
			return this.closed.join();
		}

	}

	private record Reply(String first, IntFunction<String> repeated, Endless endless) {
	}

}
