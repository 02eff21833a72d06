/** @throws {RangeError} if the value is too large for a whole number */
export function safeNumber(value: bigint): number {
  const number = Number(value);
  if (Number.isSafeInteger(number)) return number;
  throw new RangeError(`${value} is too large`);
}
