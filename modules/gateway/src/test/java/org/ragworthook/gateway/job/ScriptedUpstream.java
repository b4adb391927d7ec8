package org.ragworthook.gateway.job;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;

import org.ragworthook.core.fleet.Address;

/**
 * An upstream that answers each request with the next of a list of byte sequences, so
 * that a test decides how a response is framed and where it breaks off.
 */
final class ScriptedUpstream implements AutoCloseable {

	/** The end of a response whose body is sent in chunks. */
	static final String LAST_CHUNK = "0\r\n\r\n";

	private final ServerSocket server;

	private final Queue<Reply> replies = new ConcurrentLinkedQueue<>();

	private final List<Received> received = new CopyOnWriteArrayList<>();

	private final List<Socket> open = new CopyOnWriteArrayList<>();

	private ScriptedUpstream(ServerSocket server) {
		this.server = server;
	}

	static ScriptedUpstream start() throws IOException {
		ScriptedUpstream upstream = new ScriptedUpstream(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()));
		Thread acceptor = new Thread(upstream::accept, "scripted-upstream");
		acceptor.setDaemon(true);
		acceptor.start();
		return upstream;
	}

	Address address() {
		return new Address("127.0.0.1", this.server.getLocalPort());
	}

	/**
	 * Answers the next request and closes its connection.
	 * @param response the bytes of the response
	 */
	void reply(String response) {
		this.replies.add(new Reply(response, true));
	}

	/**
	 * Answers the next request and keeps its connection open.
	 * @param response the bytes of the response
	 */
	void replyAndStall(String response) {
		this.replies.add(new Reply(response, false));
	}

	List<Received> received() {
		return this.received;
	}

	private void accept() {
		while (!this.server.isClosed()) {
			try {
				Socket socket = this.server.accept();
				this.open.add(socket);
				serve(socket);
			}
			catch (IOException ex) {
				// the peer or the test has closed the socket
			}
		}
	}

	private void serve(Socket socket) throws IOException {
		InputStream in = socket.getInputStream();
		Optional<Received> head = readHead(in);
		if (head.isEmpty()) {
			socket.close();
			return;
		}
		Received request = head.get();
		byte[] body = in.readNBytes(request.header("content-length").map(Integer::parseInt).orElse(0));
		this.received.add(new Received(request.head(), body));
		Reply reply = this.replies.remove();
		socket.getOutputStream().write(reply.response().getBytes(StandardCharsets.UTF_8));
		if (reply.closes()) {
			socket.close();
		}
	}

	/**
	 * Reads the request line and the headers of a request.
	 * @param in the connection
	 * @return the request without its body, or empty if the connection was closed
	 * @throws IOException if the connection was reset
	 */
	static Optional<Received> readHead(InputStream in) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = in.read();
			if (next < 0) {
				return Optional.empty();
			}
			head.append((char) next);
		}
		return Optional.of(new Received(List.of(head.toString().trim().split("\r\n")), new byte[0]));
	}

	/**
	 * Returns the head of a signed response whose body is sent in chunks.
	 * @param status the HTTP status
	 * @param contentType the media type, or an empty string for none
	 * @return the head with its empty line
	 */
	static String head(int status, String contentType) {
		String type = contentType.isEmpty() ? "" : "Content-Type: " + contentType + "\r\n";
		return "HTTP/1.1 " + status + " x\r\nX-Response-Signature: s\r\nConnection: close\r\n" + type
				+ "Transfer-Encoding: chunked\r\n\r\n";
	}

	static String chunk(String text) {
		return Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length) + "\r\n" + text + "\r\n";
	}

	static String events(int first, int last) {
		StringBuilder chunks = new StringBuilder();
		for (int event = first; event <= last; event++) {
			chunks.append(chunk("id: " + event + "\ndata: text " + event + "\n\n"));
		}
		return chunks.toString();
	}

	@Override
	public void close() {
		this.open.forEach(ScriptedUpstream::close);
		try {
			this.server.close();
		}
		catch (IOException ex) {
			throw new AssertionError(ex);
		}
	}

	private static void close(Socket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			throw new AssertionError(ex);
		}
	}

	private record Reply(String response, boolean closes) {
	}

	/**
	 * A request as it was received.
	 *
	 * @param head the request line and the headers
	 * @param body the bytes that the stated length covers
	 */
	record Received(List<String> head, byte[] body) {

		/**
		 * Returns a header.
		 * @param name the header's name in lower case
		 * @return its value, or empty if it was not sent
		 */
		Optional<String> header(String name) {
			return this.head.stream()
				.filter((line) -> line.toLowerCase(Locale.ROOT).startsWith(name + ":"))
				.map((line) -> line.substring(name.length() + 1).trim())
				.findFirst();
		}

	}

}
