//! JSON values annotated with the file and line that set them.

use {
    super::{Problem, Source},
    jsonc_parser::{
        CollectOptions, ParseOptions, ast,
        common::{Range, Ranged},
    },
    serde_json::{Map, Value},
    std::sync::Arc,
};

/// Location of a value in a file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Location {
    /// Name of the file.
    pub file: Arc<str>,
    /// Line number, from 1.
    pub line: usize,
}

/// A member of an object.
#[derive(Clone, Debug)]
pub struct Member {
    pub key: Arc<str>,
    pub node: Node,
}

/// Content of a node.
#[derive(Clone, Debug)]
pub enum Content {
    Object(Vec<Member>),
    Array(Vec<Node>),
    Scalar(Value),
}

/// A JSON value with the location that set it.
#[derive(Clone, Debug)]
pub struct Node {
    pub location: Location,
    pub content: Content,
}

impl Node {
    /// Creates an empty object.
    pub fn empty() -> Self {
        let location = Location { file: "(folder)".into(), line: 1 };
        Self { location, content: Content::Object(Vec::new()) }
    }

    /// Applies `patch` to this value as a JSON merge patch (RFC 7396).
    pub fn merge(&mut self, patch: Self) {
        let Content::Object(changes) = patch.content else {
            *self = patch;
            return;
        };
        if !matches!(self.content, Content::Object(_)) {
            *self = Self { location: patch.location, content: Content::Object(Vec::new()) };
        }
        let Content::Object(members) = &mut self.content else { return };
        for change in changes {
            merge_member(members, change);
        }
    }

    /// Returns the value without locations.
    pub fn to_value(&self) -> Value {
        match &self.content {
            Content::Object(members) => {
                let members = members.iter();
                let pairs = members.map(|member| (member.key.to_string(), member.node.to_value()));
                Value::Object(pairs.collect::<Map<_, _>>())
            }
            Content::Array(items) => Value::Array(items.iter().map(Self::to_value).collect()),
            Content::Scalar(value) => value.clone(),
        }
    }

    /// Returns the location of the value at a JSON pointer, or of its nearest ancestor that exists.
    pub fn location_of(&self, pointer: &str) -> &Location {
        let mut node = self;
        for token in pointer.split('/').skip(1) {
            match node.child(&unescape(token)) {
                Some(child) => node = child,
                None => break,
            }
        }
        &node.location
    }

    fn child(&self, token: &str) -> Option<&Self> {
        match &self.content {
            Content::Object(members) => {
                members.iter().find(|member| *member.key == *token).map(|member| &member.node)
            }
            Content::Array(items) => items.get(token.parse::<usize>().ok()?),
            Content::Scalar(_) => None,
        }
    }
}

fn merge_member(members: &mut Vec<Member>, change: Member) {
    let index = members.iter().position(|member| member.key == change.key);
    let removes = matches!(change.node.content, Content::Scalar(Value::Null));
    match index {
        Some(index) if removes => drop(members.remove(index)),
        Some(index) => members[index].node.merge(change.node),
        None if removes => {}
        None => {
            // Merging into null, as RFC 7396 does, removes the nulls inside the new value too.
            let location = change.node.location.clone();
            let mut node = Node { location, content: Content::Scalar(Value::Null) };
            node.merge(change.node);
            members.push(Member { key: change.key, node });
        }
    }
}

/// Parses a file and adds its problems to `problems`. Returns `None` if the file has a syntax error
/// or is not an object.
pub fn parse(source: &Source, problems: &mut Vec<Problem>) -> Option<Node> {
    let converter = Converter::new(source);
    let problem = |line, what: &str, remedy: &str| Problem {
        location: Some(Location { file: source.name.clone(), line }),
        path: "/".into(),
        what: what.into(),
        remedy: remedy.into(),
    };
    let parsed = jsonc_parser::parse_to_ast(
        &source.text,
        &CollectOptions::default(),
        &ParseOptions::default(),
    );
    let value = match parsed {
        Ok(result) => result.value,
        Err(error) => {
            let what = error.kind().to_string();
            problems.push(problem(error.line_display(), &what, "correct the syntax"));
            return None;
        }
    };
    match value {
        Some(value @ ast::Value::Object(_)) => Some(converter.node(&value, "", problems)),
        Some(_) => {
            problems.push(problem(1, "is not an object", "put the values into an object"));
            None
        }
        None => {
            problems.push(problem(1, "is empty", "give an object or remove the file"));
            None
        }
    }
}

/// Converts the syntax tree of a file to nodes.
struct Converter<'a> {
    source: &'a Source,
    line_starts: Vec<usize>,
}

impl<'a> Converter<'a> {
    fn new(source: &'a Source) -> Self {
        let after_newlines = source.text.match_indices('\n').map(|(offset, _)| offset + 1);
        Self { source, line_starts: std::iter::once(0).chain(after_newlines).collect() }
    }

    fn location(&self, range: Range) -> Location {
        let line = self.line_starts.partition_point(|start| *start <= range.start);
        Location { file: self.source.name.clone(), line }
    }

    fn node(&self, value: &ast::Value<'_>, path: &str, problems: &mut Vec<Problem>) -> Node {
        let content = match value {
            ast::Value::Object(object) => self.object(object, path, problems),
            ast::Value::Array(array) => {
                let items = array.elements.iter().enumerate();
                let items = items
                    .map(|(index, item)| self.node(item, &format!("{path}/{index}"), problems));
                Content::Array(items.collect())
            }
            ast::Value::StringLit(text) => Content::Scalar(Value::from(&*text.value)),
            ast::Value::BooleanLit(literal) => Content::Scalar(literal.value.into()),
            ast::Value::NullKeyword(_) => Content::Scalar(Value::Null),
            ast::Value::NumberLit(number) => self.number(number, path, problems),
        };
        Node { location: self.location(value.range()), content }
    }

    fn object(&self, object: &ast::Object<'_>, path: &str, problems: &mut Vec<Problem>) -> Content {
        let mut members: Vec<Member> = Vec::new();
        for property in &object.properties {
            let key = property.name.as_str();
            let path = join(path, key);
            let node = self.node(&property.value, &path, problems);
            if let Some(first) = members.iter().find(|member| *member.key == *key) {
                problems.push(Problem {
                    location: Some(self.location(property.range)),
                    path: path.into(),
                    what: format!("stands twice, first in line {}", first.node.location.line)
                        .into(),
                    remedy: "remove one of them".into(),
                });
                continue;
            }
            members.push(Member { key: key.into(), node });
        }
        Content::Object(members)
    }

    fn number(
        &self,
        number: &ast::NumberLit<'_>,
        path: &str,
        problems: &mut Vec<Problem>,
    ) -> Content {
        let parsed: Result<Value, _> =
            jsonc_parser::parse_to_serde_value(number.value, &ParseOptions::default());
        let value = parsed.ok().filter(Value::is_number);
        if value.is_none() {
            problems.push(Problem {
                location: Some(self.location(number.range)),
                path: path.into(),
                what: format!("{} is not a finite number", number.value).into(),
                remedy: "give a finite number".into(),
            });
        }
        Content::Scalar(value.unwrap_or_default())
    }
}

/// Appends a key to a JSON pointer, escaping `~` and `/`.
pub fn join(pointer: &str, key: &str) -> String {
    format!("{pointer}/{}", key.replace('~', "~0").replace('/', "~1"))
}

fn unescape(token: &str) -> String {
    token.replace("~1", "/").replace("~0", "~")
}
