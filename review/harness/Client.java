import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A client of the entries: each call on a new connection. */
final class Client {

	/** An answer; the status is 0 if there was none. */
	record Answer(int status, Map<String, String> headers, byte[] body, boolean whole) {

		static final Answer NONE = new Answer(0, Map.of(), new byte[0], false);

		String text() {
			return new String(this.body, StandardCharsets.UTF_8);
		}

	}

	private Client() {
	}

	static int status(String ip, int port, String method, String path, Map<String, String> headers, byte[] body,
			int millis) {
		return call(ip, port, method, path, headers, body, millis).status();
	}

	static Answer call(String ip, int port, String method, String path, Map<String, String> headers, byte[] body,
			int millis) {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(ip, port), 1_000);
			socket.setSoTimeout(millis);
			socket.getOutputStream().write(request(method, path, headers, body, true));
			socket.getOutputStream().flush();
			return read(new BufferedInputStream(socket.getInputStream()));
		}
		catch (IOException ex) {
			return Answer.NONE;
		}
	}

	static byte[] request(String method, String path, Map<String, String> headers, byte[] body, boolean close) {
		StringBuilder head = new StringBuilder(method).append(' ').append(path).append(" HTTP/1.1\r\n");
		headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
		if (!headers.containsKey("Host")) {
			head.append("Host: ").append(Fleet.HOST).append("\r\n");
		}
		if (close) {
			head.append("Connection: close\r\n");
		}
		if (body.length > 0) {
			head.append("Content-Length: ").append(body.length).append("\r\n");
		}
		head.append("\r\n");
		ByteArrayOutputStream all = new ByteArrayOutputStream();
		all.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
		all.writeBytes(body);
		return all.toByteArray();
	}

	static Answer read(InputStream in) throws IOException {
		String start = MiniHttp.line(in);
		if (start == null) {
			return Answer.NONE;
		}
		int status = Integer.parseInt(start.split(" ")[1]);
		Map<String, String> headers = MiniHttp.headers(in);
		if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			try {
				for (byte[] chunk = MiniHttp.chunk(in); chunk.length > 0; chunk = MiniHttp.chunk(in)) {
					body.writeBytes(chunk);
				}
			}
			catch (IOException ex) {
				return new Answer(status, headers, body.toByteArray(), false);
			}
			return new Answer(status, headers, body.toByteArray(), true);
		}
		int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
		byte[] body = in.readNBytes(length);
		return new Answer(status, headers, body, body.length == length);
	}

}
