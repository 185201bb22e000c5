/**
 * Injection tokens for Nest. The code is compiled without decorator metadata, so Nest cannot inject
 * by type.
 */
export const CALLER_GATEWAY = Symbol('gateway');
export const ADMIN_GATEWAY = Symbol('admin-gateway');
