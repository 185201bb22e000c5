/** Non-cryptographic hashes, the same on every instance. */
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** 32-bit hash of a text. */
export function hash32(text: string, seed = 0): number {
  return hasher.h32(text, seed);
}

/** 64-bit hash of a text as 16 hexadecimal digits. */
export function hash64Hex(text: string): string {
  return hasher.h64ToString(text);
}

/**
 * The `count` members that own `key` by rendezvous hashing, best first. A member that joins or leaves
 * moves only the keys that it gains or loses.
 */
export function selectOwners(
  key: string,
  members: readonly string[],
  count: number,
): readonly string[] {
  return members
    .map((member) => ({ member, weight: hash32(`${key}\u0000${member}`) }))
    .sort((a, b) => b.weight - a.weight || (a.member < b.member ? -1 : 1))
    .slice(0, count)
    .map((scored) => scored.member);
}
