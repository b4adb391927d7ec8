package org.ragworthook.core.response;

/**
 * States which bytes are an HTTP/1 response: the grammar of RFC 9112, without what that
 * lets lenient recipients repair.
 * <p>
 * A head is a status line and fields, each ended by CR LF, and an empty line. The version
 * is 1.0 or 1.1, the status has three digits from 100 to 599, a name is a token that the
 * colon follows at once, and a reason phrase or a value holds no control byte but
 * horizontal tabs. Empty lines before a head are skipped.
 * <p>
 * HTTP decoders repair what is malformed: they drop a part of a name, or read a status
 * that does not exist. The result is a response that its server did not send. Bytes are
 * therefore checked as received.
 */
public final class ResponseGrammar {

	private static final String VERSION = "HTTP/1.";

	private static final String NAME_SYMBOLS = "!#$%&'*+-.^_`|~";

	private static final int CR = '\r';

	private static final int LF = '\n';

	private static final int STATUS_DIGITS = 3;

	private State state = State.BEFORE_HEAD;

	/** How many bytes of the version or of the status were accepted. */
	private int accepted;

	private int status;

	/**
	 * Checks the next byte of a head.
	 * @param octet the byte
	 * @return whether the bytes so far begin a response; nothing can follow bytes that do
	 * not
	 */
	public boolean accepts(byte octet) {
		this.state = next(octet & 0xff);
		return this.state != State.MALFORMED;
	}

	/**
	 * Returns whether the empty line that ends a head was accepted.
	 * @return whether the head is complete
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
			case LINE -> (octet == CR) ? State.LAST_LF : nameBytes(octet, State.NAME);
			case NAME -> (octet == ':') ? State.TEXT : nameBytes(octet, State.NAME);
			case LAST_LF -> only(LF, octet, State.COMPLETE);
			case COMPLETE, MALFORMED -> State.MALFORMED;
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

	private static State nameBytes(int octet, State next) {
		boolean letter = (octet >= 'a' && octet <= 'z') || (octet >= 'A' && octet <= 'Z');
		boolean allowed = letter || (octet >= '0' && octet <= '9') || NAME_SYMBOLS.indexOf(octet) >= 0;
		return allowed ? next : State.MALFORMED;
	}

	/** What the last byte was, or what is expected next. */
	private enum State {

		BEFORE_HEAD, EMPTY_LINE_LF, VERSION, MINOR_VERSION, STATUS_SPACE, STATUS, STATUS_END,

		/** Within a reason phrase or a value. */
		TEXT,

		LINE_LF, LINE, NAME, LAST_LF,

		COMPLETE, MALFORMED

	}

}
