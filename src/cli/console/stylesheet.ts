/**
 * Style sheet of the console.
 */

export const STYLESHEET = `
:root {
  color-scheme: light;
  --ink: #1d2733;
  --faint: #5a6775;
  --line: #d3dae1;
  --surface: #ffffff;
  --ground: #f3f5f7;
  --accent: #14568c;
  --bad: #a51d1d;
  --good: #1d6b3a;
  --bar-height: 3.5rem;
}
* { box-sizing: border-box; }
body {
  margin: 0;
  background: var(--ground);
  color: var(--ink);
  font: 15px/1.45 system-ui, "DejaVu Sans", sans-serif;
}
[id] { scroll-margin-top: calc(var(--bar-height) + 0.75rem); }
code { font-family: ui-monospace, "DejaVu Sans Mono", monospace; font-size: 0.88em; }
h1 { font-size: 1.15rem; margin: 0; }
h2 { font-size: 1.1rem; margin: 0 0 0.75rem; }
h3 { font-size: 1rem; margin: 1.25rem 0 0.4rem; }
h4 { font-size: 0.92rem; margin: 1rem 0 0.25rem; }
a { color: var(--accent); }
.hidden { position: absolute; left: -999rem; }
.bar {
  position: sticky; top: 0; z-index: 2;
  display: flex; align-items: center; gap: 0.75rem;
  min-height: var(--bar-height); padding: 0.4rem 1.25rem;
  background: var(--surface); border-bottom: 1px solid var(--line);
}
.bar h1 { margin-right: auto; }
.state { font-size: 0.92rem; font-weight: 700; text-decoration: none; }
.state.bad { color: var(--bad); }
.state.good { color: var(--good); }
button {
  font: inherit; padding: 0.3rem 0.8rem; cursor: pointer;
  color: var(--accent); background: var(--surface);
  border: 1px solid var(--accent); border-radius: 4px;
}
button.primary { color: #ffffff; background: var(--accent); }
button.edit { border-color: var(--line); }
button.up, button.down, button.remove { padding: 0.1rem 0.5rem; }
button.remove { color: var(--bad); }
button:focus-visible, input:focus-visible, select:focus-visible {
  outline: 2px solid var(--accent); outline-offset: 1px;
}
nav { display: flex; flex-wrap: wrap; gap: 0.3rem 1.1rem; padding: 0.7rem 1.25rem 0; }
.notice {
  margin: 1rem 1.25rem 0; padding: 0.75rem 1rem;
  background: #e9f5ee; border: 1px solid var(--good); border-radius: 6px;
}
.notice p { margin: 0.15rem 0; }
.download { margin-left: 0.5rem; font-weight: 600; }
.columns {
  display: grid; grid-template-columns: minmax(0, 1fr) 22rem;
  gap: 1.25rem; padding: 1rem 1.25rem 3rem; align-items: start;
}
.section, aside > section, aside > details {
  background: var(--surface); border: 1px solid var(--line); border-radius: 6px;
  padding: 1rem 1.15rem; margin-bottom: 1rem;
}
aside {
  position: sticky; top: calc(var(--bar-height) + 1rem);
  max-height: calc(100vh - var(--bar-height) - 2rem); overflow-y: auto;
  font-size: 0.92rem; overflow-wrap: anywhere;
}
aside h2 { font-size: 1rem; margin-bottom: 0.4rem; }
aside ol, aside ul { margin: 0; padding-left: 1.4rem; }
aside li { margin-bottom: 0.4rem; }
aside summary { font-weight: 600; cursor: pointer; }
.field {
  display: grid; grid-template-columns: 13rem minmax(0, 1fr); gap: 0 1rem;
  padding: 0.6rem 0; border-top: 1px solid var(--line);
}
h2 + .field, h2 + .problem + .field { border-top: 0; }
label { font-weight: 600; }
.field-name { display: block; font-weight: 400; color: var(--faint); }
.entry { display: flex; align-items: baseline; gap: 0.5rem; }
.unit { color: var(--faint); font-weight: 400; }
input, select {
  font: inherit; padding: 0.25rem 0.45rem; color: inherit;
  background: var(--surface); border: 1px solid #93a1af; border-radius: 4px;
}
input[readonly] { background: var(--ground); color: var(--faint); }
input.text { width: 14rem; }
input.number { width: 8rem; text-align: right; }
[aria-invalid="true"] { border-color: var(--bad); background: #fdf1f1; }
.help { margin: 0.25rem 0 0; color: var(--faint); font-size: 0.9rem; }
.allowed { display: block; }
.problem { margin: 0.25rem 0 0; color: var(--bad); font-size: 0.9rem; }
.problem:empty { display: none; }
.card { border: 1px solid var(--line); border-radius: 6px; margin: 1rem 0; padding: 0.5rem 0.6rem 0.75rem; min-width: 0; }
.jumps { display: flex; flex-wrap: wrap; gap: 0.2rem 1rem; margin: 0.75rem 0 0; }
.card legend { font-weight: 700; padding: 0 0.4rem; }
.card-buttons { float: right; }
.card-fields { display: grid; grid-template-columns: repeat(auto-fill, minmax(15rem, 1fr)); gap: 0.75rem 1.25rem; clear: both; }
.table-scroll { overflow-x: auto; margin: 0.75rem 0; }
table { border-collapse: collapse; }
th { text-align: left; font-weight: 600; }
th, td { padding: 0.3rem 0.4rem; vertical-align: top; }
.items th, .items td { padding: 0.25rem 0.2rem; }
.items thead th { font-size: 0.88rem; vertical-align: bottom; }
.items .unit { display: block; font-size: 0.85rem; }
.items tbody tr { border-top: 1px solid var(--line); }
.items .problem { max-width: 18rem; }
.items td.rank { color: var(--faint); text-align: right; padding-top: 0.55rem; }
.items { max-width: 100%; }
.items input.number { width: 5.5rem; }
.items input.deadlineMillis { width: 4.5rem; }
.items input.retryBound { width: 3.5rem; }
.items input.className { width: 12rem; }
.items input.name { width: 12.5rem; }
.card .items input.path { width: 100%; min-width: 9rem; }
.card .items { width: 100%; }
.card .items input.name { width: 100%; min-width: 9rem; }
.card .items input.className { width: 100%; min-width: 9.5rem; }
.card .items input, .card .items select { font-size: 0.88rem; padding: 0.2rem 0.3rem; }
.card .items button { padding: 0.05rem 0.35rem; }
.row-buttons { position: sticky; right: 0; background: var(--surface); }
.row-buttons > div { display: flex; gap: 0.15rem; }
.guide { margin: 0.6rem 0; font-size: 0.9rem; }
.guide summary { cursor: pointer; color: var(--accent); }
.guide table, .figures { width: 100%; }
.guide th, .guide td, .figures th, .figures td { border-top: 1px solid var(--line); }
.figures .heading + tr td { border-top: 0; padding-top: 0; }
.figures tbody th { overflow-wrap: normal; }
.guide thead th { border-top: 0; }
.figures td, .figures thead th { text-align: right; white-space: nowrap; }
.table-scroll .figures th:first-child { text-align: left; }
.figures tbody th { font-weight: 400; }
.concerns { display: block; color: var(--faint); font-weight: 400; }
.warnings li { color: #7a4b00; }
.rules { display: grid; grid-template-columns: 5rem minmax(0, 1fr); margin: 0; }
.rules dt { color: var(--faint); }
.rules dd { margin: 0; }
.failure { max-width: 40rem; margin: 3rem auto; padding: 1.5rem; background: var(--surface); border: 1px solid var(--line); border-radius: 6px; }
.failure h1 { color: var(--bad); }
@media (max-width: 90rem) {
  .columns { grid-template-columns: minmax(0, 1fr); }
  aside { position: static; max-height: none; }
}
`;
