/**
 * The errors of the system: a sealed hierarchy of unchecked exceptions. Each exception
 * has an {@link org.ragworthook.core.error.ErrorCode}, which gives its HTTP status and
 * remedy.
 */
package org.ragworthook.core.error;
