/**
 * Stand-ins of a plain service, some of whose calls must not be repeated, and of the
 * rate-limited weight store.
 */
package org.ragworthook.standin.service;
