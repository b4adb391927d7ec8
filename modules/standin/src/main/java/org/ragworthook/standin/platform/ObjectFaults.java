package org.ragworthook.standin.platform;

import java.util.Random;

import io.vertx.core.json.JsonObject;

/**
 * The faults of the object API, switched by a control call.
 */
final class ObjectFaults {

	private boolean outage;

	private boolean silent;

	private long delayMillis;

	private int loseNext;

	private double loseFraction;

	private Random random = new Random(1);

	/**
	 * Takes over what a control call names; the rest stays.
	 * @param change fields {@code outage}, {@code silent}, {@code delayMillis},
	 * {@code loseNext}, {@code loseFraction}, {@code seed}
	 */
	void change(JsonObject change) {
		this.outage = change.getBoolean("outage", this.outage);
		this.silent = change.getBoolean("silent", this.silent);
		this.delayMillis = change.getLong("delayMillis", this.delayMillis);
		this.loseNext = change.getInteger("loseNext", this.loseNext);
		this.loseFraction = change.getDouble("loseFraction", this.loseFraction);
		if (change.containsKey("seed")) {
			this.random = new Random(change.getLong("seed"));
		}
	}

	boolean outage() {
		return this.outage;
	}

	boolean silent() {
		return this.silent;
	}

	long delayMillis() {
		return this.delayMillis;
	}

	/**
	 * Decides whether the answer to a write that took effect is lost.
	 * @return whether to lose it
	 */
	boolean losesAnswer() {
		if (this.loseNext > 0) {
			this.loseNext--;
			return true;
		}
		return this.loseFraction > 0 && this.random.nextDouble() < this.loseFraction;
	}

	JsonObject document() {
		return new JsonObject().put("outage", this.outage)
			.put("silent", this.silent)
			.put("delayMillis", this.delayMillis)
			.put("loseNext", this.loseNext)
			.put("loseFraction", this.loseFraction);
	}

}
