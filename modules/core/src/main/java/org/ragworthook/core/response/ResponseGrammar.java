package org.ragworthook.core.response;

import java.nio.ByteBuffer;

/**
 * States which bytes are an HTTP/1 response: the grammar of RFC 9112, without what that
 * lets lenient recipients repair.
 * <p>
 * A head is a status line and fields, each ended by CR LF, and an empty line. The version
 * is 1.0 or 1.1, the status has three digits from 100 to 599, a name is a token that the
 * colon follows at once, and a reason phrase or a value holds no control byte but
 * horizontal tabs. Empty lines before a head are skipped. A chunk begins with its size in
 * hexadecimal digits, which blanks and extensions may follow; trailers are fields.
 * <p>
 * HTTP decoders repair what is malformed: they drop a part of a name, or read a status
 * that does not exist. The result is a response that its server did not send. Bytes are
 * therefore checked as received. The bytes of bodies are not checked, and the length of a
 * body without chunks is not known here, so the user states what follows a head.
 */
public final class ResponseGrammar {

	private static final String VERSION = "HTTP/1.";

	private static final String NAME_SYMBOLS = "!#$%&'*+-.^_`|~";

	private static final int CR = '\r';

	private static final int LF = '\n';

	private static final int STATUS_DIGITS = 3;

	private static final int HEXADECIMAL = 16;

	/** The longest chunk whose size does not overflow with one more digit. */
	private static final long MAX_CHUNK_BYTES = Long.MAX_VALUE / HEXADECIMAL - 1;

	private State state = State.BEFORE_HEAD;

	/** How many bytes of the version or of the status were accepted. */
	private int accepted;

	private int status;

	/** The size of the chunk whose data follows or is being skipped. */
	private long chunkBytes;

	/**
	 * Checks the next byte of a head, of the lines around a chunk or of trailers.
	 * @param octet the byte
	 * @return whether the bytes so far begin a response; nothing can follow bytes that do
	 * not
	 */
	public boolean accepts(byte octet) {
		this.state = next(octet & 0xff);
		return this.state != State.MALFORMED;
	}

	/**
	 * Checks bytes as {@link #accepts(byte)} does, up to the end of a head or trailers,
	 * and skips those of chunks.
	 * @param bytes the bytes, of which those that were checked or skipped are consumed
	 * @return whether the bytes so far begin a response
	 */
	public boolean accepts(ByteBuffer bytes) {
		while (bytes.hasRemaining() && !complete()) {
			int data = (int) Math.min(unchecked(), bytes.remaining());
			if (data > 0) {
				skip(data);
				bytes.position(bytes.position() + data);
			}
			else if (!accepts(bytes.get())) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Returns whether the empty line that ends a head or trailers was accepted.
	 * @return false before {@link #beginHead} or {@link #beginChunks} and that line
	 */
	public boolean complete() {
		return this.state == State.COMPLETE;
	}

	/**
	 * Returns the status of the head that is complete.
	 * @return 100 to 599
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Expects the head of another response.
	 */
	public void beginHead() {
		this.state = State.BEFORE_HEAD;
	}

	/**
	 * Expects the size of the first chunk of a body.
	 */
	public void beginChunks() {
		beginChunkSize();
	}

	/**
	 * Returns how many bytes of a chunk follow, which are not to be checked.
	 * @return the count of bytes, 0 if the next byte is to be checked
	 */
	private long unchecked() {
		return (this.state == State.CHUNK_DATA) ? this.chunkBytes : 0;
	}

	private void skip(long bytes) {
		this.chunkBytes -= bytes;
		if (this.chunkBytes == 0) {
			this.state = State.CHUNK_DATA_CR;
		}
	}

	private State next(int octet) {
		return switch (this.state) {
			case BEFORE_HEAD -> (octet == CR) ? State.EMPTY_LINE_LF : version(octet, 0);
			case EMPTY_LINE_LF -> only(LF, octet, State.BEFORE_HEAD);
			case VERSION -> version(octet, this.accepted);
			case MINOR_VERSION -> (octet == '0' || octet == '1') ? State.STATUS_SPACE : State.MALFORMED;
			case STATUS_SPACE -> beginStatus(octet);
			case STATUS -> statusDigit(octet);
			case STATUS_END -> (octet == ' ') ? State.TEXT : only(CR, octet, State.LINE_LF);
			case TEXT -> text(octet);
			case LINE_LF -> only(LF, octet, State.LINE);
			case LINE -> (octet == CR) ? State.LAST_LF : name(octet);
			case NAME -> (octet == ':') ? State.TEXT : name(octet);
			case LAST_LF -> only(LF, octet, State.COMPLETE);
			case CHUNK_SIZE_START -> chunkDigit(octet);
			case CHUNK_SIZE -> (Character.digit(octet, HEXADECIMAL) >= 0) ? chunkDigit(octet) : afterChunkSize(octet);
			case CHUNK_BLANK -> afterChunkSize(octet);
			case CHUNK_EXTENSION -> isText(octet) ? State.CHUNK_EXTENSION : only(CR, octet, State.CHUNK_SIZE_LF);
			case CHUNK_SIZE_LF -> only(LF, octet, (this.chunkBytes == 0) ? State.LINE : State.CHUNK_DATA);
			case CHUNK_DATA_CR -> only(CR, octet, State.CHUNK_DATA_LF);
			case CHUNK_DATA_LF -> (octet == LF) ? beginChunkSize() : State.MALFORMED;
			case CHUNK_DATA, COMPLETE, MALFORMED -> State.MALFORMED;
		};
	}

	private static State only(int expected, int octet, State next) {
		return (octet == expected) ? next : State.MALFORMED;
	}

	private State version(int octet, int at) {
		if (octet != VERSION.charAt(at)) {
			return State.MALFORMED;
		}
		this.accepted = at + 1;
		return (this.accepted == VERSION.length()) ? State.MINOR_VERSION : State.VERSION;
	}

	private State beginStatus(int octet) {
		this.accepted = 0;
		this.status = 0;
		return only(' ', octet, State.STATUS);
	}

	private State statusDigit(int octet) {
		int first = (this.accepted == 0) ? '1' : '0';
		int last = (this.accepted == 0) ? '5' : '9';
		if (octet < first || octet > last) {
			return State.MALFORMED;
		}
		this.status = this.status * 10 + octet - '0';
		this.accepted++;
		return (this.accepted == STATUS_DIGITS) ? State.STATUS_END : State.STATUS;
	}

	private static State text(int octet) {
		return isText(octet) ? State.TEXT : only(CR, octet, State.LINE_LF);
	}

	private static boolean isText(int octet) {
		return octet == '\t' || (octet >= ' ' && octet != 0x7f);
	}

	private static State name(int octet) {
		boolean letter = (octet >= 'a' && octet <= 'z') || (octet >= 'A' && octet <= 'Z');
		boolean allowed = letter || (octet >= '0' && octet <= '9') || NAME_SYMBOLS.indexOf(octet) >= 0;
		return allowed ? State.NAME : State.MALFORMED;
	}

	private State beginChunkSize() {
		this.chunkBytes = 0;
		this.state = State.CHUNK_SIZE_START;
		return this.state;
	}

	private State chunkDigit(int octet) {
		int digit = (octet < 0x80) ? Character.digit(octet, HEXADECIMAL) : -1;
		if (digit < 0 || this.chunkBytes > MAX_CHUNK_BYTES) {
			return State.MALFORMED;
		}
		this.chunkBytes = this.chunkBytes * HEXADECIMAL + digit;
		return State.CHUNK_SIZE;
	}

	private static State afterChunkSize(int octet) {
		if (octet == ' ' || octet == '\t') {
			return State.CHUNK_BLANK;
		}
		return (octet == ';') ? State.CHUNK_EXTENSION : only(CR, octet, State.CHUNK_SIZE_LF);
	}

	/** What the last byte was, or what is expected next. */
	private enum State {

		BEFORE_HEAD, EMPTY_LINE_LF, VERSION, MINOR_VERSION, STATUS_SPACE, STATUS, STATUS_END,

		/** Within a reason phrase or a value. */
		TEXT,

		LINE_LF, LINE, NAME, LAST_LF,

		CHUNK_SIZE_START, CHUNK_SIZE, CHUNK_BLANK, CHUNK_EXTENSION, CHUNK_SIZE_LF, CHUNK_DATA, CHUNK_DATA_CR,
		CHUNK_DATA_LF,

		COMPLETE, MALFORMED

	}

}
