import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PushbackInputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A small HTTP/1.1 server for stand-ins: one thread a connection, keep-alive, chunked responses. */
final class MiniHttp implements AutoCloseable {

	interface Handler {

		void handle(Exchange exchange) throws IOException;

	}

	private final ServerSocket server = new ServerSocket();

	private final Handler handler;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final ExecutorService threads = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(task, "http");
		thread.setDaemon(true);
		return thread;
	});

	private MiniHttp(Handler handler) throws IOException {
		this.handler = handler;
	}

	static MiniHttp start(String ip, Handler handler) throws IOException {
		MiniHttp http = new MiniHttp(handler);
		http.server.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 256);
		http.threads.execute(http::acceptAll);
		return http;
	}

	int port() {
		return this.server.getLocalPort();
	}

	private void acceptAll() {
		while (!this.server.isClosed()) {
			try {
				Socket socket = this.server.accept();
				socket.setTcpNoDelay(true);
				this.sockets.add(socket);
				this.threads.execute(() -> serve(socket));
			}
			catch (IOException ex) {
				// The server was closed, or the peer was gone before it was accepted.
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			PushbackInputStream in = new PushbackInputStream(new BufferedInputStream(socket.getInputStream(), 65_536), 1);
			OutputStream out = socket.getOutputStream();
			while (true) {
				Exchange exchange = Exchange.read(socket, in, out);
				if (exchange == null) {
					return;
				}
				this.handler.handle(exchange);
				if (!exchange.finished) {
					return;
				}
			}
		}
		catch (IOException ex) {
			// The peer has closed the connection.
		}
		finally {
			this.sockets.remove(socket);
		}
	}

	private static void close(Socket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			// Closed already.
		}
	}

	/** Closes the connections that are open now. */
	void closeConnections() {
		this.sockets.forEach(MiniHttp::close);
	}

	/** Ends as a process does that crashes: accepts nothing more, and all connections are closed. */
	void crash() throws IOException {
		this.server.close();
		closeConnections();
	}

	@Override
	public void close() throws IOException {
		this.server.close();
		this.threads.shutdownNow();
	}

	static String line(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		while (true) {
			int next = in.read();
			if (next < 0) {
				return (line.size() == 0) ? null : line.toString(StandardCharsets.ISO_8859_1);
			}
			if (next == '\n') {
				return line.toString(StandardCharsets.ISO_8859_1);
			}
			if (next != '\r') {
				line.write(next);
			}
		}
	}

	static Map<String, String> headers(InputStream in) throws IOException {
		Map<String, String> headers = new LinkedHashMap<>();
		for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
		}
		return headers;
	}

	static byte[] chunked(InputStream in) throws IOException {
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		while (true) {
			byte[] chunk = chunk(in);
			if (chunk.length == 0) {
				return body.toByteArray();
			}
			body.writeBytes(chunk);
		}
	}

	/** Reads one chunk; empty at the end of the body. */
	static byte[] chunk(InputStream in) throws IOException {
		String size = line(in);
		if (size == null) {
			throw new IOException("the body ended early");
		}
		int length = Integer.parseInt(size.split(";")[0].trim(), 16);
		byte[] data = in.readNBytes(length);
		if (data.length < length || line(in) == null) {
			throw new IOException("the body ended early");
		}
		return data;
	}

	/** A request and the response to it. */
	static final class Exchange {

		final String method;

		final String path;

		final Map<String, String> query = new LinkedHashMap<>();

		final Map<String, String> headers;

		final byte[] body;

		private final Socket socket;

		private final PushbackInputStream in;

		private final OutputStream out;

		private boolean finished;

		private Exchange(String method, String target, Map<String, String> headers, byte[] body, Socket socket,
				PushbackInputStream in, OutputStream out) {
			this.method = method;
			int mark = target.indexOf('?');
			this.path = (mark < 0) ? target : target.substring(0, mark);
			for (String pair : ((mark < 0) ? "" : target.substring(mark + 1)).split("&")) {
				int equals = pair.indexOf('=');
				if (equals > 0) {
					this.query.put(pair.substring(0, equals),
							URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
				}
			}
			this.headers = headers;
			this.body = body;
			this.socket = socket;
			this.in = in;
			this.out = out;
		}

		private static Exchange read(Socket socket, PushbackInputStream in, OutputStream out) throws IOException {
			String start = line(in);
			if (start == null || start.isEmpty()) {
				return null;
			}
			String[] words = start.split(" ");
			Map<String, String> headers = MiniHttp.headers(in);
			byte[] body = "chunked".equalsIgnoreCase(headers.get("transfer-encoding")) ? chunked(in)
					: in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
			return new Exchange(words[0], words[1], headers, body, socket, in, out);
		}

		void respond(int status, Map<String, String> fields, byte[] content) throws IOException {
			StringBuilder head = head(status, fields);
			head.append("Content-Length: ").append(content.length).append("\r\n\r\n");
			ByteArrayOutputStream all = new ByteArrayOutputStream();
			all.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
			all.writeBytes(content);
			this.out.write(all.toByteArray());
			this.out.flush();
			this.finished = true;
		}

		private static StringBuilder head(int status, Map<String, String> fields) {
			StringBuilder head = new StringBuilder("HTTP/1.1 ").append(status).append(" S\r\n");
			fields.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
			return head;
		}

		void startChunked(int status, Map<String, String> fields) throws IOException {
			StringBuilder head = head(status, fields).append("Transfer-Encoding: chunked\r\n\r\n");
			this.out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
			this.out.flush();
		}

		void chunk(byte[] data) throws IOException {
			ByteArrayOutputStream all = new ByteArrayOutputStream();
			all.writeBytes((Integer.toHexString(data.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
			all.writeBytes(data);
			all.writeBytes("\r\n".getBytes(StandardCharsets.ISO_8859_1));
			this.out.write(all.toByteArray());
			this.out.flush();
		}

		void endChunked() throws IOException {
			this.out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
			this.out.flush();
			this.finished = true;
		}

		/** Returns whether the peer has closed the connection; waits for a millisecond. */
		boolean peerClosed() {
			try {
				this.socket.setSoTimeout(1);
				int next = this.in.read();
				if (next < 0) {
					return true;
				}
				this.in.unread(next);
				return false;
			}
			catch (SocketTimeoutException ex) {
				return false;
			}
			catch (IOException ex) {
				return true;
			}
			finally {
				try {
					this.socket.setSoTimeout(0);
				}
				catch (IOException ex) {
					// Closed.
				}
			}
		}

		/** Ends the connection without a response. */
		void cutOff() {
			try {
				this.socket.close();
			}
			catch (IOException ex) {
				// Closed already.
			}
		}

	}

}
