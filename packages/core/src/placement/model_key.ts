/** Formats a model as in load reports, `NAME@VERSION`. */
export function modelKey(model: string, version: string): string {
  return `${model}@${version}`;
}
