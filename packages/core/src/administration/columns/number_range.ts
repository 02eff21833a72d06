/** Range and kind of the numbers of a column. */
export interface NumberRange {
  min: number;
  max: number;
  whole: boolean;
}
