/**
 * The load driver: online requests in an open loop, batch jobs and calls that must not
 * run twice. Every answer is compared with the one that the prompt must have.
 */
package org.ragworthook.standin.load;
