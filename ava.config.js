/** Tests run on the built code; workers are capped so verdicts do not depend on load. */
const config = {
  files: ['dist/test/**/*.test.js'],
  concurrency: 4,
  timeout: '120s',
  workerThreads: false,
};

export default config;
