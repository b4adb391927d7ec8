/**
 * The errors of the system: one sealed family of unchecked exceptions, each with a code,
 * a kind and a remedy.
 */
package org.ragworthook.core.error;
