/**
 * Client accounts: authentication by API key, how long the configured keys may be relied
 * on without confirmation, and rate limits. An <i>entry</i> is a gateway process that
 * accepts callers' requests.
 */
package org.ragworthook.gateway.account;
