const CI_SCHEDULES = 200;

/** Number of random schedules of a model test, from `WL_SCHEDULES`. */
export function scheduleCount(): number {
  return Number(process.env['WL_SCHEDULES'] ?? CI_SCHEDULES);
}
