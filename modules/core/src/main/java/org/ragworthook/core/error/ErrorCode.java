package org.ragworthook.core.error;

import java.util.Objects;

/**
 * The errors that are reported to clients and operators. A code's number is stable across
 * versions, and the number of a removed code is not reused. The thousands digit groups
 * the codes:
 * <ul>
 * <li>1000: configuration and settings</li>
 * <li>2000: online requests</li>
 * <li>3000: files and batch jobs</li>
 * <li>4000: the platform's object API</li>
 * <li>5000: orders and upstreams</li>
 * <li>6000: links and access</li>
 * </ul>
 */
public enum ErrorCode {

	/** A settings file could not be read. */
	SETTINGS_UNREADABLE(1001, 500, "check that the file exists and that this user may read it"),

	/** A settings file is not well-formed JSON. */
	SETTINGS_MALFORMED(1002, 500, "mend the JSON at the given line and column"),

	/** A settings file contains an unknown key. */
	SETTINGS_UNKNOWN_KEY(1003, 500, "remove the key or correct its spelling; docs/SETTINGS.md lists all keys"),

	/** A settings value has the wrong type or lies outside its range. */
	SETTINGS_BAD_VALUE(1004, 500, "give a value of the type and range stated in docs/SETTINGS.md"),

	/** A required settings key is missing. */
	SETTINGS_MISSING_KEY(1005, 500, "add the key; docs/SETTINGS.md shows an example"),

	/** A configured listen address is already in use. */
	SETTINGS_ADDRESS_IN_USE(1006, 500, "stop the process that listens there or choose another port"),

	/** The submitted configuration is not well-formed JSON. */
	CONFIG_MALFORMED(1010, 400, "mend the JSON at the given line and column"),

	/** The submitted configuration violates the schema. */
	CONFIG_INVALID(1011, 400, "mend each listed place and submit the text again"),

	/** The submitted configuration is larger than the platform's limit. */
	CONFIG_TOO_LARGE(1012, 413, "remove accounts or comments that are no longer needed, or split the deployment"),

	/** The submitted configuration removes something that accepted jobs still need. */
	CONFIG_STRANDS_WORK(1013, 409, "keep it until the jobs have ended, cancel them, or apply with --strand"),

	/** The submitted configuration is based on a version that is no longer the newest. */
	CONFIG_CONFLICT(1020, 409, "get the newest text, merge the change into it and submit again"),

	/** No configuration has been accepted yet. */
	CONFIG_ABSENT(1021, 503, "submit a first text with 'ragworthook apply'"),

	/** A request is not well-formed. */
	REQUEST_MALFORMED(2001, 400, "send a JSON body as the OpenAI API describes it"),

	/** A request names a model or service that is not served. */
	REQUEST_UNKNOWN_MODEL(2002, 404, "choose a model that GET /v1/models lists"),

	/** A request body is larger than the limit. */
	REQUEST_TOO_LARGE(2003, 413, "send a smaller body or have the operator raise limits.requestBytes"),

	/** A path is not served. */
	REQUEST_UNKNOWN_PATH(2004, 404, "check the path against the API pages"),

	/** The account exceeded one of its limits; the request was not run. */
	REQUEST_OVER_LIMIT(2010, 429, "wait for the time in Retry-After and send the request again"),

	/**
	 * The fleet has no capacity for the request before its deadline; the request was not
	 * run.
	 */
	REQUEST_NOT_RUN_OVERLOADED(2011, 503, "wait for the time in Retry-After and send the request again"),

	/** No upstream of the service is reachable; the request was not run. */
	REQUEST_NOT_RUN_NO_UPSTREAM(2012, 503, "wait for the time in Retry-After and send the request again"),

	/** A dependency of the service is unavailable; the request was not run. */
	REQUEST_NOT_RUN_DEPENDENCY(2013, 503, "wait until the named dependency is up and send the request again"),

	/**
	 * The record that must be stored before the request is run could not be written; the
	 * request was not run.
	 */
	REQUEST_NOT_RUN_NO_RECORD(2014, 503, "send the request again with the same Idempotency-Key once the store is up"),

	/** The deadline passed before the request was run. */
	REQUEST_NOT_RUN_DEADLINE(2015, 504, "allow more time with the deadline header"),

	/** The entry is stopping; the request was not run. */
	REQUEST_NOT_RUN_STOPPING(2016, 503, "send the request again; another entry takes it"),

	/**
	 * A non-repeatable request was forwarded to an upstream and its outcome is unknown.
	 */
	REQUEST_OUTCOME_UNKNOWN(2020, 502, "check with the service before you send the request again"),

	/** Every attempt at a repeatable request failed. */
	REQUEST_FAILED(2021, 502, "send the request again later"),

	/** The deadline passed while the request was running. */
	REQUEST_DEADLINE_PASSED(2022, 504, "allow more time with the deadline header"),

	/** A request is quarantined because it crashed the upstreams that ran it. */
	REQUEST_QUARANTINED(2030, 422, "change the request; the same request is refused until its quarantine ends"),

	/** An idempotency key was reused with a different body. */
	REQUEST_KEY_REUSED(2031, 422, "use a new Idempotency-Key for a different request"),

	/** A request with this idempotency key is running or has run. */
	REQUEST_KEY_TAKEN(2032, 409, "wait for the first request's answer; it is not run a second time"),

	/** A file does not exist or belongs to another account. */
	FILE_NOT_FOUND(3001, 404, "check the file id and the account key"),

	/** A line of a batch file is invalid; nothing was accepted. */
	JOB_BROKEN_LINE(3002, 400, "mend the named line and upload the whole file again"),

	/** A batch job does not exist or belongs to another account. */
	JOB_NOT_FOUND(3003, 404, "check the job id and the account key"),

	/** A batch job could not be accepted; nothing was stored. */
	JOB_NOT_ACCEPTED(3004, 503, "send the job again; the same Idempotency-Key finds it if it was accepted after all"),

	/** A batch job was sent again with the same idempotency key and a different body. */
	JOB_KEY_REUSED(3005, 422, "use a new Idempotency-Key for a different job"),

	/** A batch job has ended and cannot be cancelled. */
	JOB_ENDED(3006, 409, "read the job's results; it ended before the cancel"),

	/** A file was sent again with the same idempotency key and different content. */
	FILE_KEY_REUSED(3007, 422, "use a new Idempotency-Key for a different file"),

	/** A file could not be stored; no part of it is retained. */
	FILE_NOT_STORED(3008, 503, "upload the file again; an upload that broke off is collected"),

	/** A job's request is not well-formed. */
	JOB_MALFORMED(3009, 400, "send a JSON body as the OpenAI batch API describes it"),

	/** Every attempt at an item of a job failed. */
	ITEM_FAILED(3010, 502, "send the item again in a new job"),

	/** An item of a job crashed the upstreams that ran it. */
	ITEM_POISONED(3011, 422, "change the item before it is sent again"),

	/** A non-repeatable item was forwarded to an upstream and its outcome is unknown. */
	ITEM_OUTCOME_UNKNOWN(3012, 502, "check with the service before the item is sent again"),

	/** An item was cancelled together with its job. */
	ITEM_CANCELLED(3013, 409, "send the item again in a new job if it is still wanted"),

	/** The response to an item is larger than a stored record may be. */
	ITEM_RESULT_TOO_LARGE(3014, 413, "ask for a shorter answer"),

	/** A file cannot be deleted while a job needs it. */
	FILE_IN_USE(3015, 409, "wait until the jobs that read the file have ended, or cancel them"),

	/** The platform's response to the write that accepts a job was lost. */
	JOB_OUTCOME_UNKNOWN(3016, 503, "send the job again with the same Idempotency-Key; it is found if it was accepted"),

	/** A conditional write found a version other than the expected one. */
	STORE_CONFLICT(4001, 409, "read the object again and repeat the change on its newest version"),

	/** An object is larger than the platform's limit. */
	STORE_TOO_LARGE(4002, 413, "split the value; the platform takes up to 1 MB"),

	/** The platform rejected a call because the rate limit was exceeded. */
	STORE_RATE_LIMITED(4003, 503, "wait and try again; check the call rates in the metrics"),

	/** The platform did not accept the call; the call had no effect. */
	STORE_UNAVAILABLE(4004, 503, "wait until the object API is up; serving goes on meanwhile"),

	/** The platform's response was lost; the call may have taken effect. */
	STORE_OUTCOME_UNKNOWN(4005, 503, "read the object back before trying again"),

	/** An order carries a fencing token older than one already seen. */
	ORDER_FENCED(5001, 409, "read the newest lease; another leader is in charge"),

	/** An upstream did not carry out an order. */
	ORDER_FAILED(5002, 502, "see the upstream's log; the order is tried again with back-off"),

	/** The fencing token could not be read back after a restart. */
	ORDER_NO_FENCE(5003, 503, "wait until the object API is up; orders are refused until then"),

	/** The key is missing or unknown. */
	ACCESS_UNKNOWN_KEY(6001, 401, "send a valid account key as a bearer token"),

	/** The key is valid but does not allow this call. */
	ACCESS_FORBIDDEN(6002, 403, "use an operator's key for operators' calls and an account's key for its own"),

	/** An operator named an unknown instance. */
	INSTANCE_UNKNOWN(6003, 404, "take the name from 'ragworthook status'"),

	/** A link to another process failed. */
	LINK_FAILED(6010, 502, "check the address and the certificates of the two processes"),

	/** An error inside the system. */
	INTERNAL(6999, 500, "report the log line with event=internal_error");

	private final int number;

	private final int httpStatus;

	private final String remedy;

	ErrorCode(int number, int httpStatus, String remedy) {
		this.number = number;
		this.httpStatus = httpStatus;
		this.remedy = Objects.requireNonNull(remedy, "remedy is null");
	}

	/**
	 * Returns the stable number of this code.
	 * @return the number, from 1000 to 6999
	 */
	public int number() {
		return this.number;
	}

	/**
	 * Returns the code as it is shown to clients and operators.
	 * @return the code, such as {@code RWH-4001}
	 */
	public String text() {
		return "RWH-" + this.number;
	}

	/**
	 * Returns the HTTP status of responses that report this code.
	 * @return a status from 400 to 599
	 */
	public int httpStatus() {
		return this.httpStatus;
	}

	/**
	 * Returns what a client or an operator can do about the error.
	 * @return the remedy, one clause in the imperative
	 */
	public String remedy() {
		return this.remedy;
	}

}
